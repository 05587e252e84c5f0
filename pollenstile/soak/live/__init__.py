"""Fault tests of real entry hosts with processes, proxies and signals."""

from pollenstile.soak.live._run import LiveResult, run_live
from pollenstile.soak.live._silences import SilencePlan
