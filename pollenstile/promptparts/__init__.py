"""Transfer of shared prompt parts between model engines, without I/O.

Explanation
===========

An engine can fetch a shared prompt part from an engine that keeps it instead of
reading it again. The functions here decide from which one, by rendezvous
hashing over the engines that exist now and those that existed shortly before.
"""

from pollenstile.promptparts._history import EngineHistory
from pollenstile.promptparts._source import (
    PartSource,
    home_engine,
    part_source,
    reachable_engines,
)
from pollenstile.promptparts._transfer import (
    has_transferable_parts,
    is_worthwhile,
    transfer_cost_seconds,
)
