"""Log events of forwarding."""

from pollenstile.ops.events import define

FORWARD_STARTED = define(
    1201,
    'forward-started',
    'An entry host listens and reads its configuration.',
)
FORWARD_READY = define(
    1202,
    'forward-ready',
    'The host has a configuration and the registry, and takes requests.',
)
FORWARD_LEAVING = define(
    1203,
    'forward-leaving',
    'The host was told to stop; it finishes what is in flight.',
)
FORWARD_STOPPED = define(1204, 'forward-stopped', 'The host stops.')
FORWARDED = define(
    1205,
    'forwarded',
    'A request was sent to an upstream; what decided is in the line.',
)
FORWARD_ENDED = define(
    1206,
    'forward-ended',
    'A request has its final answer.',
)
ATTEMPT_FAILED = define(
    1207,
    'attempt-failed',
    'A send did not bring the answer; what follows is in the line.',
)
CALLER_LEFT = define(
    1208,
    'caller-left',
    'A caller closed its connection before the answer was whole.',
)
CONFIGURATION_TAKEN = define(
    1209,
    'configuration-taken',
    'A new version of the routes is in force on this host.',
)
CONFIGURATION_BAD = define(
    1210,
    'configuration-bad',
    'A version can not be used; the last good one stays in force.',
    'Look at the reason; the version was written by the operator.',
)
STORE_LOST = define(
    1211,
    'store-lost',
    'The store does not answer; what is known stays in use.',
    'Nothing at first; keyed requests end when the proof is too old.',
)
STORE_REGAINED = define(1212, 'store-regained', 'The store answers again.')
STORE_SILENT = define(
    1239,
    'store-silent',
    'A read of the configuration has no answer; others are sent beside it.',
    'Look whether the host reaches the store; `age_ms` tells what it still knows.',
)
UPSTREAM_CHANGED = define(
    1213,
    'upstream-changed',
    'An upstream came, leaves or is gone.',
)
UPSTREAM_UNREADABLE = define(
    1222,
    'upstream-unreadable',
    'An entry of the registry names no upstream; the others hold.',
    'Find who else writes there; the line names the entry.',
)
UPSTREAM_CRASHED = define(
    1240,
    'upstream-crashed',
    'Connections to an upstream broke and nobody listens there any more.',
    'Look for a fingerprint in `requests` that is in other such lines as well.',
)
DOMAIN_DRAINED = define(
    1233,
    'domain-drained',
    'A failure domain is drained: its upstreams get no new work from here.',
    'An operator asked for it; `pollenstile drain DOMAIN --metrics` shows what is left.',
)
DOMAIN_RETURNED = define(
    1234,
    'domain-returned',
    'A failure domain is not drained any more; its upstreams get work again.',
)
DRAINS_KNOWN = define(
    1235,
    'drains-known',
    'The host has heard which domains are drained; before, it went by none.',
)
UPSTREAM_COLD = define(
    1236,
    'upstream-cold',
    'An upstream says that it is cold; hosts share the few requests it bears.',
)
UPSTREAM_WARM = define(
    1237,
    'upstream-warm',
    'An upstream that was cold says that it is warm.',
)
FORWARD_CRASHED = define(
    1214,
    'forward-crashed',
    'A fault of the program ended a request.',
    'Report it with the whole line.',
)
REQUEST_MALFORMED = define(
    1215,
    'request-malformed',
    'A caller sent bytes that are no acceptable request.',
)
SETTINGS_TAKEN = define(
    1219,
    'settings-taken',
    'Changed settings are in force; addresses only after a restart.',
)
SETTINGS_BAD = define(
    1220,
    'settings-bad',
    'The settings file can not be used; the last good settings stay.',
    'Mend the file; the line names the field.',
)
HOSTS_CHANGED = define(
    1216,
    'hosts-changed',
    'Entry hosts that this one knows of.',
)
FORWARD_JOINED = define(
    1221,
    'forward-joined',
    'The host listens for peers and is about to register.',
)
REGISTER_FAILED = define(
    1217,
    'register-failed',
    'The host could not write its own entry; it tries again.',
)
