"""Stage work: one queue per stage service batches pieces of many requests."""

from pollenstile.stagework._arrivals import Arrivals
from pollenstile.stagework._batching import batch_for, unreserved_bytes
from pollenstile.stagework._calltimes import full_seconds, long_wait
from pollenstile.stagework._chain import Chain, ChainFailed
from pollenstile.stagework._client import StageClient
from pollenstile.stagework._codec import (
    answer_bytes,
    answer_from,
    group_bytes,
    group_from,
)
from pollenstile.stagework._locality import eligible_pieces, seconds_until_free
from pollenstile.stagework._owner import Owner
from pollenstile.stagework._ownerorder import owner_order
from pollenstile.stagework._plan import (
    Plan,
    build_plan,
    crowded_seconds,
    longest_seconds,
    should_delay_step,
    usual_seconds,
)
from pollenstile.stagework._ranking import count_ahead, ranked
from pollenstile.stagework._service import StageService
from pollenstile.stagework._types import (
    CallLost,
    Group,
    GroupDone,
    GroupRefused,
    Piece,
    Result,
    Worker,
)
from pollenstile.stagework._waiting import expected_wait, may_join_queue
from pollenstile.stagework._workers import may_start
