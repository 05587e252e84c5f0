"""Stage work: pieces of many requests, made in batches by one owner host."""

from pollenstile.stagework._arrivals import Arrivals
from pollenstile.stagework._batching import batch_for, spare_bytes
from pollenstile.stagework._calltimes import full_seconds, long_wait
from pollenstile.stagework._chain import Chain, ChainFailed
from pollenstile.stagework._client import StageClient
from pollenstile.stagework._codec import (
    answer_bytes,
    answer_from,
    group_bytes,
    group_from,
)
from pollenstile.stagework._nearness import eligible_pieces, seconds_until_free
from pollenstile.stagework._owner import Owner
from pollenstile.stagework._placing import owner_order
from pollenstile.stagework._plan import (
    Plan,
    crowded_seconds,
    build_plan,
    usual_seconds,
    waits_for_others,
)
from pollenstile.stagework._ranking import ahead_of, ranked
from pollenstile.stagework._service import StageService
from pollenstile.stagework._types import (
    CallLost,
    Group,
    GroupDone,
    GroupRefused,
    Result,
    Piece,
    Worker,
)
from pollenstile.stagework._waiting import may_join_queue, expected_wait
from pollenstile.stagework._workers import may_start
