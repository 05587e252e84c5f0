"""Resource usage of this process."""

import resource
import time

_KB = 1024


def process_usage():
    """Return processor seconds and peak memory as a document.

    Examples
    ========

    >>> from pollenstile.ops.usage import process_usage
    >>> sorted(process_usage())
    ['cpu_seconds', 'memory_mb']
    """
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    return {
        'cpu_seconds': round(time.process_time(), 3),
        'memory_mb': round(peak / _KB, 1),
    }
