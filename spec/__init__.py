"""The specification of the core protocol, checked by z3.

Explanation
===========

``run.py`` checks everything and prints the verdict; ``trace.py`` holds
recorded runs against the claims' transition relation. What each action stands
for in the code is in ``docs/design/specification.md``.
"""
