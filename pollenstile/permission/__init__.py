"""What upstreams state about further requests, and whether to send any."""

from pollenstile.permission._block import Block
from pollenstile.permission._leaving import LEAVING_REASON, LeavingUpstreams
from pollenstile.permission._permissions import LIMITED_REASON, Permissions
from pollenstile.permission._rests import RESTING_REASON, RestPeriods
from pollenstile.permission._sharing import LEAVING_SUBJECT, LeavingSharing
from pollenstile.permission._statements import (
    StatementHeaders,
    Statements,
    read_statements,
)
from pollenstile.permission._values import (
    MAX_REST_SECONDS,
    parse_leaving,
    parse_rest,
)
