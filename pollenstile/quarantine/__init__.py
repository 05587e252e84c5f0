"""Requests that crash the upstreams that run them."""

from pollenstile.quarantine._fingerprint import fingerprint
