"""Clients of the platform's object API, host list and weight store."""

from pollenstile.platform._brownout import (
    CLASS_BACKOFFS,
    FAILURE_THRESHOLD,
    Brownout,
    ClassBackoff,
    record_answer,
    record_failure,
    seconds_blocked,
)
from pollenstile.platform._budget import (
    SHARES,
    Budget,
    CallClass,
    ClassShare,
    class_of_kind,
    seconds_until_available,
    try_acquire,
)
from pollenstile.platform._eras import EraStore, StoreEra, parse_era
from pollenstile.platform._hosts import HostEntry, HostList, read_host_list
from pollenstile.platform._http import (
    ERA_HEADER,
    FailedCall,
    Reply,
    ServerClient,
)
from pollenstile.platform._httpstore import HttpStore
from pollenstile.platform._lateness import RevisionTimes
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
    make_pause,
    no_pause,
    paused,
)
from pollenstile.platform._positions import era_of, position, revision_of
from pollenstile.platform._rows import (
    UNREADABLE,
    convert_rows,
    decode_json,
    decode_value,
    present,
)
from pollenstile.platform._seenversions import (
    SeenVersions,
    changes_from_listing,
    filter_new_events,
)
from pollenstile.platform._settle import field_mark, put_with_readback
from pollenstile.platform._sharedreads import ReadResult, SharedReads
from pollenstile.platform._store import (
    PAGE_LIMIT,
    POLL_SECONDS,
    VALUE_LIMIT,
    Store,
)
from pollenstile.platform._watch import Watch, WatchTiming, watch
from pollenstile.platform._weights import Throttled, Ticket, request_ticket
