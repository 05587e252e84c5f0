"""Settings, command line, events and metrics."""
