"""Log events of the fleet."""

from pollenstile.ops.events import define

CONFIG_IN_FORCE = define(
    4001,
    'config-in-force',
    'This host serves under this version from now on.',
)
CONFIG_INVALID = define(
    4002,
    'config-invalid',
    'A version does not validate; the one before stays in force.',
    'Apply a version that validates; see who wrote this one.',
)
CONFIG_GARBLED = define(
    4003,
    'config-garbled',
    'A peer handed over a configuration whose digest is wrong.',
    'Often from one peer: restart it.',
)
CONFIG_MALFORMED = define(
    4004,
    'config-malformed',
    'The configuration object is gone, or is not one that apply writes.',
    'Apply the manifest again; hosts keep what they have.',
)
UPSTREAM_LEAVING = define(
    4005,
    'upstream-leaving',
    'An incarnation of an upstream is leaving and gets no new work.',
)
UPSTREAM_NEW = define(
    4006,
    'upstream-new',
    'An upstream has a new incarnation.',
)
UPSTREAM_DOWN = define(
    4007,
    'upstream-down',
    'Several hosts can not reach an upstream; it gets no new work.',
    'See whether it runs; the line names the hosts that can not reach it.',
)
UPSTREAM_BACK = define(
    4008,
    'upstream-back',
    'An upstream that was down can be reached again.',
)
DOWN_IGNORED = define(
    4009,
    'down-ignored',
    'So much of a pool seems down that the witnesses are not believed.',
    'See whether the hosts are cut off from the upstreams.',
)
HOST_DOWN = define(
    4010,
    'host-down',
    'Peers can not reach an entry host.',
    'See whether it runs.',
)
HOST_BACK = define(4011, 'host-back', 'An entry host is back.')
HOSTS_UNREAD = define(
    4012,
    'hosts-unread',
    "The platform's host list could not be read.",
)
