"""Who may start now: feasibility, fair sharing, concurrency."""

from pollenstile.limits._admission import (
    Admission,
    expected_time,
    expected_total,
)
from pollenstile.limits._budget import RetryBudget
