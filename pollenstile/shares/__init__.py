"""Shares of a stage queue by urgency and team, without I/O."""

from pollenstile.shares._fairness import equal_level, has_deprived
from pollenstile.shares._grading import GradedServices, is_graded
from pollenstile.shares._shares import (
    LESS_URGENT,
    TEAM_SHARE,
    AdmissionShares,
)
