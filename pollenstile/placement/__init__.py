"""Leases, fencing numbers and orders to engines."""
