"""A soak of real entry hosts: processes, proxies, signals."""

from pollenstile.soak.live._run import LiveResult, run_live
