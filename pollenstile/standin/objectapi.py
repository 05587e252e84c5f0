"""Stand-in of the platform's object API, in memory and over HTTP.

Explanation
===========

:class:`MemoryStore` has the interface of
:class:`~pollenstile.platform.Store` and switches for the faults of a store
and of the way to it. :func:`objectapi_resource` serves one over HTTP, and
:func:`platform_site` serves it together with the other stand-ins.
"""

# The unused imports are this module's public face.
from pollenstile.standin._memory import MemoryStore  # noqa: F401
from pollenstile.standin._objectweb import (  # noqa: F401
    objectapi_resource,
    platform_site,
)
