"""Measurements that the command line runs."""
