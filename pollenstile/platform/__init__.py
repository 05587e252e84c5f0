"""The platform's object API, host list and weight store."""

from pollenstile.platform._brownout import (
    PACES,
    PATIENCE,
    Brownout,
    ClassPace,
    call_answered,
    call_failed,
    seconds_blocked,
)
from pollenstile.platform._budget import (
    SHARES,
    Budget,
    CallClass,
    ClassShare,
    class_of_kind,
    seconds_to_next,
    taken,
)
from pollenstile.platform._hosts import HostEntry, HostList, read_host_list
from pollenstile.platform._http import FailedCall, ServerClient, Reply
from pollenstile.platform._httpstore import HttpStore
from pollenstile.platform._known import (
    Known,
    news_of_events,
    news_of_listing,
)
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
from pollenstile.platform._paced import PacedStore
from pollenstile.platform._pages import list_all
from pollenstile.platform._pause import (
    fork_deferred,
    paused,
    make_pause,
    no_pause,
)
from pollenstile.platform._rows import decoded, readable
from pollenstile.platform._settle import field_mark, put_with_readback
from pollenstile.platform._store import (
    PAGE_LIMIT,
    POLL_SECONDS,
    VALUE_LIMIT,
    Store,
)
from pollenstile.platform._watch import Watch, WatchTiming, watch
from pollenstile.platform._weights import Throttled, Ticket, request_ticket
