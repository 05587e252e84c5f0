"""Fault tests of real entry hosts with processes, proxies and signals."""

from pollenstile.soak.live._dump import write_records
from pollenstile.soak.live._endless import FORMS, RATES
from pollenstile.soak.live._endlessruns import EndlessPlan
from pollenstile.soak.live._ends import ENDS
from pollenstile.soak.live._outlast import SILENT_SETS, GracePlan
from pollenstile.soak.live._returns import ReturnPlan
from pollenstile.soak.live._run import LiveResult, MixedPlan, run_live
from pollenstile.soak.live._silences import SilencePlan
