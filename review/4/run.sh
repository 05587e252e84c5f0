#!/bin/sh
# Callers of a non-idempotent route with stages leave; TROUBLE=0: they stay.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=../standins PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
