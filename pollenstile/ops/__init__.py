"""Command line, settings, log events, metrics and HTTP utilities."""
