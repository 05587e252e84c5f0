"""Fake of the platform's object API, in memory and over HTTP.

Explanation
===========

:class:`MemoryStore` has the interface of
:class:`~pollenstile.platform.Store` and switches that inject faults of a store
and of the network to it. :func:`objectapi_resource` serves a store over HTTP,
and :func:`platform_site` serves it together with the other platform fakes.
"""

# The imports that are unused here are this module's public names.
from pollenstile.standin._memory import MemoryStore  # noqa: F401
from pollenstile.standin._objectweb import (  # noqa: F401
    objectapi_resource,
    platform_site,
)
