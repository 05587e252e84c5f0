"""Formal specification of the core protocol, checked by the z3 solver.

Explanation
===========

``run.py`` checks the specification and prints the result. ``trace.py``
checks recorded runs against the transition relation of the claims log.
``docs/design/specification.md`` maps each action to the code.
"""
