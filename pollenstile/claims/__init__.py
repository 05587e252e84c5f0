"""Non-idempotent requests at most once, from any entry host."""

from pollenstile.claims._claims import SHARD_COUNT, Claims, unreachable
from pollenstile.claims._forward import build_forwarder, preferred_host
from pollenstile.claims._log import ShardLog
from pollenstile.claims._pending import Held, Unreached
from pollenstile.claims._records import Record, Segment
from pollenstile.claims._peers import connect_peers, sent
