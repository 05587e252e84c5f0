"""The interpreter's collector of reference cycles, set for a server.

Explanation
===========

The default looks at young objects each 700 allocations. A host that streams
allocates that many in a few chunks, though nearly all are freed by their
reference counts. ``bench floor`` showed the cost: a third of the processor
time of a streamed answer, and runs that differ by as much.
"""

import gc

# Allocations, less frees, until young objects are looked at; then how many
# looks until the next older generation is.
_YOUNG = 20000
_MIDDLE = 20
_OLD = 20


def configure_garbage_collector():
    """Look for cycles less often, and not at what start-up has made."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(_YOUNG, _MIDDLE, _OLD)
