"""The platform's object API, host list and weight store."""

from pollenstile.platform._outcome import (
    Absent,
    Change,
    Changes,
    Compacted,
    Conflict,
    Found,
    InDoubt,
    Listing,
    NotApplied,
    Superseded,
    Unavailable,
    Written,
)
from pollenstile.platform._store import (
    PAGE_LIMIT,
    POLL_SECONDS,
    VALUE_LIMIT,
    Store,
)
