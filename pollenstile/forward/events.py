"""Log events of the forwarding entry host."""

from pollenstile.ops.events import define

FORWARD_STARTED = define(
    1201,
    'forward-started',
    'An entry host listens and starts to read its configuration; the line has a'
    ' digest of the code that it runs.',
)
FORWARD_READY = define(
    1202,
    'forward-ready',
    'The host has a configuration and the registry, and accepts requests.',
)
FORWARD_LEAVING = define(
    1203,
    'forward-leaving',
    'The host received a signal to stop; it finishes the requests in flight.',
)
FORWARD_STOPPED = define(1204, 'forward-stopped', 'The host stops.')
FORWARDED = define(
    1205,
    'forwarded',
    'A request was sent to an upstream; the line has the reasons of the choice.',
)
FORWARD_ENDED = define(
    1206,
    'forward-ended',
    'A request has its final answer.',
)
ATTEMPT_FAILED = define(
    1207,
    'attempt-failed',
    'An attempt ended without the final answer; the line has the next step.',
)
CALLER_LEFT = define(
    1208,
    'caller-left',
    'A caller closed its connection before the answer was complete.',
)
ANSWER_CUT_OFF = define(
    1253,
    'answer-cut-off',
    'A host that stops has closed the connection before its caller had the whole'
    ' answer.',
    'For the `why` of `grace over`, compare the grace with the time that answers'
    ' take; for `not read`, the caller reads slowly.',
)
EXIT_JUDGED = define(
    1257,
    'exit-judged',
    'An answer without a length has ended as its upstream, which leaves, closed'
    ' all connections; the line has whether the upstream had left by then.',
    'For `not removed`, the upstream has crashed, or its entry was removed late.',
)
CONFIGURATION_TAKEN = define(
    1209,
    'configuration-taken',
    'A new version of the routes is in force on this host.',
)
CONFIGURATION_BAD = define(
    1210,
    'configuration-bad',
    'A version is invalid; the last valid one stays in force.',
    'Correct the version, which an operator wrote; the line has the reason.',
)
CONFIGURATION_KEPT = define(
    1245,
    'configuration-kept',
    'The store has an older version than the one in force, which stays.',
    'After a return of the store, write the newest version again.',
)
ENTRY_DOUBTED = define(
    1246,
    'entry-doubted',
    'After a return of the store, an older entry of an upstream is not followed.',
)
PEER_KEY_RESTORED = define(
    1247,
    'peer-key-restored',
    'The key that hosts share was written to the store again.',
)
PEER_KEY_CHANGED = define(
    1248,
    'peer-key-changed',
    'The host had drawn a key of its own and takes that of the other hosts.',
)
STORE_LOST = define(
    1211,
    'store-lost',
    'The store does not answer; the known configuration stays in use.',
    'None at first; requests with a key are refused once verification is too old.',
)
STORE_REGAINED = define(1212, 'store-regained', 'The store answers again.')
STORE_SILENT = define(
    1239,
    'store-silent',
    'A read of the configuration has no answer in time; further reads are sent.',
    'Check the connection to the store; `age_ms` is the time since the last verification.',
)
UPSTREAM_CHANGED = define(
    1213,
    'upstream-changed',
    'An upstream was registered, is leaving or is gone.',
)
UPSTREAM_UNREADABLE = define(
    1222,
    'upstream-unreadable',
    'A registry entry can not be decoded; the other entries stay in use.',
    'Find the writer of the entry that the line names.',
)
STREAM_ENDED = define(
    1241,
    'stream-ended',
    'A stream ended other than by its framing, or inside an event.',
    'If `rest` is not 0 for many streams of one upstream, check that upstream.',
)
ATTEMPT_SILENT = define(
    1249,
    'attempt-silent',
    'An upstream has sent nothing for the caller for the limit on silence of an'
    ' attempt.',
    'Compare `heard_ms`, the time since the upstream sent anything to this host,'
    ' and `late_ms`, by which the loop of this host ran late. `no_progress` counts'
    ' bytes that came meanwhile and brought nothing.',
)
ATTEMPT_HEARD = define(
    1250,
    'attempt-heard',
    'A silent upstream goes on with its answer after `silent_ms`; `beside` other'
    ' attempts of the request are in flight.',
)
STANDBY_HELD = define(
    1251,
    'standby-held',
    'An attempt is silent, and none is sent beside it for the stated reason; the'
    ' silent one is still awaited.',
)
ANSWER_TAKEN_OVER = define(
    1252,
    'answer-taken-over',
    'An attempt has something for the caller before the silent ones, which were'
    ' closed after `silent_ms`; it was sent `took_ms` ago.',
)
UPSTREAM_WITHOUT_PROGRESS = define(
    1256,
    'upstream-without-progress',
    'An upstream sends bytes that are no answer. New requests pass by it for'
    ' `passed_by_ms`, or until it answers, while there are others.',
    'Check that upstream. `reason` is the bound that it met, with which the'
    ' attempt ended, or that nothing came in time.',
)
UPSTREAM_CRASHED = define(
    1240,
    'upstream-crashed',
    'Connections to an upstream broke and its port refuses connections.',
    'Look for a fingerprint in `requests` or `parts` that recurs in other such'
    ' lines.',
)
UPSTREAM_REPORTED = define(
    1255,
    'upstream-reported',
    'An upstream was asked which process it is, before a stream goes on there or'
    ' for the version of one that began; `process` has the answer, and `reason`'
    ' why there is none.',
    'Many with `later`: entries of restarted upstreams are read late. Many with'
    ' `unknown`: upstreams do not answer requests for their reports.',
)
OVERLOADED = define(
    1242,
    'overloaded',
    'The loop of the host runs late; it closes part of the new connections before'
    ' it has read their requests.',
    'The callers try other hosts. If most hosts do this, the fleet is too small.',
)
OVERLOAD_ENDED = define(
    1243,
    'overload-ended',
    'The host accepts all new connections again; `closed` counts those that it'
    ' closed since its start.',
)
DOMAIN_DRAINED = define(
    1233,
    'domain-drained',
    'A failure domain is drained: its upstreams get no new work from here.',
    'An operator drained it; `pollenstile drain DOMAIN --metrics` shows what remains.',
)
DOMAIN_RETURNED = define(
    1234,
    'domain-returned',
    'A failure domain is no longer drained; its upstreams get new work again.',
)
DRAINS_KNOWN = define(
    1235,
    'drains-known',
    'The host has read the drained domains; before, it treated none as drained.',
)
UPSTREAM_COLD = define(
    1236,
    'upstream-cold',
    'An upstream reports that it is cold; hosts share its reduced capacity.',
)
UPSTREAM_WARM = define(
    1237,
    'upstream-warm',
    'An upstream that was cold reports that it is warm.',
)
FORWARD_CRASHED = define(
    1214,
    'forward-crashed',
    'An unexpected exception ended a request or a periodic task.',
    'Report it as a bug, with the full line.',
)
REQUEST_MALFORMED = define(
    1215,
    'request-malformed',
    'A caller sent a malformed or oversize request, or sent it too slowly.',
)
SETTINGS_TAKEN = define(
    1219,
    'settings-taken',
    'Changed settings are in force; changed addresses need a restart.',
)
SETTINGS_BAD = define(
    1220,
    'settings-bad',
    'The settings file is invalid; the last valid settings stay in force.',
    'Correct the file; the line names the field.',
)
HOSTS_CHANGED = define(
    1216,
    'hosts-changed',
    'The entry of another host was added, changed or removed.',
)
FORWARD_LACKING = define(
    1244,
    'forward-lacking',
    'The host has started and can not serve yet, or not with its peers.',
    '`lacks` names what it waits for; see `store-lost` and `store-silent`.',
)
FORWARD_JOINED = define(
    1221,
    'forward-joined',
    'The host listens for peers and registers itself in the store.',
)
REGISTER_FAILED = define(
    1217,
    'register-failed',
    'The host could not write its entry in the store; it retries.',
)
