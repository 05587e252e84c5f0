"""Non-idempotent requests at most once, from any entry host."""

from pollenstile.claims._claims import SHARDS, Claims, unreachable
from pollenstile.claims._forward import forwarding, preferred_host
from pollenstile.claims._log import ShardLog
from pollenstile.claims._pending import Held, Unreached
from pollenstile.claims._records import Record, Segment
from pollenstile.claims._peers import join_peers, sent
