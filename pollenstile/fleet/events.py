"""Log events of configuration and membership."""

from pollenstile.ops.events import define

CONFIG_IN_FORCE = define(
    4001,
    'config-in-force',
    'This version of the configuration is now in force at this host.',
)
CONFIG_INVALID = define(
    4002,
    'config-invalid',
    'A version does not validate; the previous one stays in force.',
    'Apply a version that validates; find out who wrote this one.',
)
CONFIG_GARBLED = define(
    4003,
    'config-garbled',
    'A peer sent a configuration that does not match its digest.',
    'If most of these come from one peer, restart it.',
)
CONFIG_MALFORMED = define(
    4004,
    'config-malformed',
    'The configuration object is missing or was not written by apply.',
    'Apply the manifest again; hosts keep the version in force.',
)
CONFIG_KEPT = define(
    4021,
    'config-kept',
    'A returned store shows a version that was in force before; it is refused.',
    'Apply the newest manifest again.',
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
    'Check whether it runs; the line names the hosts that can not reach it.',
)
UPSTREAM_BACK = define(
    4008,
    'upstream-back',
    'An upstream that was down can be reached again.',
)
DOWN_IGNORED = define(
    4009,
    'down-ignored',
    'Too much of a pool is reported down; the reports are ignored.',
    'Check whether the hosts are cut off from the upstreams.',
)
HOST_DOWN = define(
    4010,
    'host-down',
    'Peers can not reach an entry host.',
    'Check whether it runs.',
)
HOST_BACK = define(4011, 'host-back', 'An entry host is reachable again.')
HOSTS_UNREAD = define(
    4012,
    'hosts-unread',
    "The platform's host list could not be read.",
)
