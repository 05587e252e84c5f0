"""Randomised runs of the real code in virtual time, with invariants."""

from pollenstile.soak._run import SoakResult, run_soak
