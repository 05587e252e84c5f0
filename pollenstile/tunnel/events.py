"""Log events of connections that peers open for a host."""

from pollenstile.ops.events import define

PATH_LOST = define(
    1701,
    'path-lost',
    'Peers reach an upstream that this host does not; requests go through them.',
    'Check the network between this host and the upstreams.',
)
PATH_REGAINED = define(
    1702,
    'path-regained',
    'This host reaches an upstream again that only peers reached.',
)
PATH_CHECKED = define(
    1703,
    'path-checked',
    'No peer reaches an upstream either, or none could be asked.',
)
TUNNEL_OPENED = define(
    1704,
    'tunnel-opened',
    'A peer opened a connection to an upstream for this host.',
)
TUNNEL_FAILED = define(
    1705,
    'tunnel-failed',
    'No peer opened a connection to an upstream for this host.',
    'Check whether the peers reach the upstream, or have no room.',
)
TUNNEL_SERVED = define(
    1706,
    'tunnel-served',
    'This host was asked for a connection to an upstream by a peer.',
)
TUNNEL_LISTENING = define(
    1707,
    'tunnel-listening',
    'The host listens for peers that pick up their connections.',
)
