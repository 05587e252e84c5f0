"""Protocol between entry hosts: links, heartbeats and requests."""

from pollenstile.peer._fields import uint32_ms
from pollenstile.peer._flood import Flood
from pollenstile.peer._frames import (
    FRAME_LIMIT,
    HANDSHAKE_FRAME_LIMIT,
    FrameBuffer,
    OversizeError,
    encode_frame,
)
from pollenstile.peer._hub import Hub
from pollenstile.peer._link import BEAT_PERIOD, SILENCE_LIMIT, Link
from pollenstile.peer._messages import (
    Answer,
    Ask,
    BadMessageError,
    Beat,
    Hello,
    News,
    Sums,
    decode_message,
    decode_struct,
    encode_message,
)
from pollenstile.peer._neighbours import neighbours, neighbours_of
from pollenstile.peer._patch import (
    Patch,
    RecentTexts,
    apply_patch,
    patch_between,
    patch_fields,
    patch_from,
    text_digest,
)
from pollenstile.peer._rendezvous import (
    next_in_ring,
    place_of,
    rank_candidates,
)
from pollenstile.peer._requests import LOST, REFUSED, Unanswered
from pollenstile.peer._schema import SCHEMA_PATH, load_schema, schema
from pollenstile.peer._session import (
    MIN_VERSION,
    VERSION,
    ProtocolError,
    Session,
    State,
    parse_keys,
)
from pollenstile.peer._tcp import tcp_connect, tcp_listen
from pollenstile.peer._virtual import VirtualWires
