"""Software versions at which streams began, as far as hosts know them."""

from pollenstile.origins._conclusion import Witness, concluded_version
from pollenstile.origins._doubts import VersionDoubts
from pollenstile.origins._handover import StreamHandover
from pollenstile.origins._history import HISTORY_SECONDS, SoftwareHistory
from pollenstile.origins._keepers import copy_candidates, keepers_by_domain
from pollenstile.origins._key import origin_key
from pollenstile.origins._origins import (
    OriginFound,
    Origins,
    OriginUnknown,
    build_origins,
)
from pollenstile.origins._record import SOFTWARE_KIND, SoftwareRecorder
from pollenstile.origins._sharing import OriginSharing
from pollenstile.origins._streamentry import STREAMS_KIND
from pollenstile.origins._streamrecord import StreamRecorder
from pollenstile.origins._table import Origin, OriginTable
