"""Log events of the inner protocol."""

from pollenstile.ops.events import define

PEER_OPENED = define(6001, 'peer-opened', 'A peer was met and proved the key.')
PEER_LOST = define(
    6002,
    'peer-lost',
    'A connection to a peer ended; it is dialed again if still wanted.',
    'Many at one time: see whether a failure domain is cut off.',
)
PEER_SILENT = define(
    6003,
    'peer-silent',
    'A peer sent nothing for too long; its connection was closed.',
)
PEER_REFUSED = define(
    6004,
    'peer-refused',
    'A connection was closed: no peer, or it broke the protocol.',
    'From an own host: its peer key or release differs; else a stranger.',
)
PEER_UNKNOWN_SUBJECT = define(
    6005,
    'peer-unknown-subject',
    'A peer asked for something that this release does not know.',
)
PEER_HANDLER_FAILED = define(
    6006,
    'peer-handler-failed',
    'A fault of the program ended the handling of a message.',
    'Report it with the whole line.',
)
PEERS_OFF = define(
    6007,
    'peers-off',
    'No peer key is set; this host talks to no other entry host.',
    'Set the peer key on every entry host if there is more than one.',
)
