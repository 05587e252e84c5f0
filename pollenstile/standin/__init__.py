"""Fakes of the outside systems, for tests, benchmarks and demos."""
