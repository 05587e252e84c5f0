"""Randomised fault tests of the real code in virtual time."""

from pollenstile.soak._run import SoakResult, run_soak
from pollenstile.soak.hardload import run_hard_load
