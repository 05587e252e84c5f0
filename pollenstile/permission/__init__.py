"""Whether a host may send to an upstream, by what upstreams state."""

from pollenstile.permission._block import Block
from pollenstile.permission._brittle import BrittleServices
from pollenstile.permission._leaving import LEAVING_REASON, LeavingUpstreams
from pollenstile.permission._permissions import (
    LIMITED_REASON,
    Permissions,
    build_permissions,
)
from pollenstile.permission._rests import RESTING_REASON, RestPeriods
from pollenstile.permission._sharing import LEAVING_SUBJECT, LeavingSharing
