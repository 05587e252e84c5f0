"""Structured logging with one line per event."""

import sys

import structlog

_LEVELS = {'debug': 10, 'info': 20, 'warning': 30, 'error': 40}


def configure_logs(level='info', stream=None):
    """Write JSON log lines of at least a level to a stream."""
    target = stream or sys.stderr
    structlog.configure(
        processors=[
            structlog.processors.TimeStamper(fmt='iso'),
            structlog.processors.JSONRenderer(default=str),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(_LEVELS[level]),
        logger_factory=structlog.WriteLoggerFactory(file=target),
        cache_logger_on_first_use=True,
    )


def event_log(**context):
    """Return a function that writes one line for an event.

    Explanation
    ===========

    The function takes an :class:`~pollenstile.ops.events.Event` and the
    line's fields. Every component that makes decisions receives it as an
    argument, so that tests can record lines instead of writing them.

    Parameters
    ==========

    context : dict
        Fields added to each line, such as the host.
    """
    logger = structlog.get_logger(**context)

    def log(event, level='info', **fields):
        getattr(logger, level)(event.name, number=event.number, **fields)

    return log


def silent_log(event, level='info', **fields):
    """Discard the event; default of components, tests and benchmarks."""
