"""Fault tests of entry hosts with uneven engines and scarce stage capacity."""

from pollenstile.soak.hardload._run import run_hard_load
