"""Calls to engines, stage pools and plain services."""
