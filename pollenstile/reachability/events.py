"""Log events of failure domains that a host can't reach."""

from pollenstile.ops.events import define

DOMAIN_UNREACHABLE = define(
    4181,
    'domain-unreachable',
    'Connections to several upstreams of a failure domain timed out in a row;'
    ' its upstreams get no requests of this host while others can.',
    'Check the network between the failure domains.',
)
DOMAIN_REACHABLE = define(
    4182,
    'domain-reachable',
    'An upstream of a failure domain is reached again; the line has the time'
    ' that the domain was unreachable.',
)
