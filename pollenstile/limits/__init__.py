"""Admission control: deadlines, fair queueing and concurrency limits."""

from pollenstile.limits._admission import Admission
from pollenstile.limits._budget import RetryBudget
from pollenstile.limits._concurrency import Concurrency, aimd, gradient
from pollenstile.limits._cost import (
    CANCELLED,
    FAILED,
    USEFUL,
    CostAccount,
)
from pollenstile.limits._estimates import (
    expected_time,
    expected_times,
    needed_time,
)
from pollenstile.limits._fairqueue import FairQueue
