"""Durable claims of idempotency keys: at most one run over all entry hosts."""

from pollenstile.claims._claims import SHARD_COUNT, Claims, holder_unreachable
from pollenstile.claims._forward import build_forwarder, preferred_host
from pollenstile.claims._log import ShardLog
from pollenstile.claims._peers import connect_peers, send_append
from pollenstile.claims._pending import Held, NotClaimed
from pollenstile.claims._records import Record, Segment
from pollenstile.claims._restore import note_return
