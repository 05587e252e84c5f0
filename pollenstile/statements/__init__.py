"""What upstreams state in the headers of answers about further requests."""

from pollenstile.statements._stale import stale_names
from pollenstile.statements._statements import (
    StatementHeaders,
    Statements,
    read_statements,
)
from pollenstile.statements._unreadable import UnreadableLog
from pollenstile.statements._values import (
    MAX_REST_SECONDS,
    parse_count,
    parse_leaving,
    parse_rest,
)
