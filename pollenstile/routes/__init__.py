"""Route table of one version of the configuration.

Explanation
===========

Plain values without I/O. An adapter decodes them from the documents that
operators write; the rest of the system reads them.
"""

from pollenstile.routes._document import routes_by_host, table_of
from pollenstile.routes._matching import (
    pick_service,
    route_of,
    team_of,
    urgency_of,
)
from pollenstile.routes._model import (
    Kind,
    Limits,
    PartTransfer,
    Route,
    RouteTable,
    Service,
    StageLimits,
    StageStep,
    Target,
    Team,
    part_transfer,
)
