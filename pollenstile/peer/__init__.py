"""The inner protocol between entry hosts."""

from pollenstile.peer._frames import (
    FRAME_LIMIT,
    OPENING_LIMIT,
    Frames,
    OversizeError,
    framed,
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
    decode_struct,
    message_bytes,
    message_from,
)
from pollenstile.peer._neighbours import neighbours
from pollenstile.peer._patch import (
    Patch,
    RecentTexts,
    patch_between,
    patch_fields,
    patch_from,
    apply_patch,
    text_digest,
)
from pollenstile.peer._rendezvous import place_in_ring, rank_candidates
from pollenstile.peer._requests import Unanswered
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
