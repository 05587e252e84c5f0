"""Log events of the protocol between entry hosts."""

from pollenstile.ops.events import define

PEER_OPENED = define(
    6001,
    'peer-opened',
    'A connection to a peer was opened; the peer proved the key.',
)
PEER_LOST = define(
    6002,
    'peer-lost',
    'A connection to a peer ended; the peer is redialed if still wanted.',
    'If many are lost at once, check whether a failure domain is cut off.',
)
PEER_SILENT = define(
    6003,
    'peer-silent',
    'A peer sent nothing within the limit; its connection was closed.',
)
PEER_REFUSED = define(
    6004,
    'peer-refused',
    'A connection was closed: not a peer, or a protocol violation.',
    'If it is an entry host, compare its peer key and release; '
    'any other sender is a stranger.',
)
PEER_UNKNOWN_SUBJECT = define(
    6005,
    'peer-unknown-subject',
    'A peer sent a request with a subject unknown to this release.',
)
PEER_HANDLER_FAILED = define(
    6006,
    'peer-handler-failed',
    'The handler of a message failed because of a program fault.',
    'Report the fault with the complete log line.',
)
PEERS_OFF = define(
    6007,
    'peers-off',
    'No peer key is set; this host connects to no other entry host.',
    'Set the peer key on every entry host if there is more than one.',
)
PEER_LATE = define(
    6008,
    'peer-late',
    'This host was stopped or busy; its peers do not count as silent for it.',
    'If frequent, the host lacks processor time.',
)
