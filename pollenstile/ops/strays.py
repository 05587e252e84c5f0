"""Errors that nothing in the program has caught."""

from twisted.logger import globalLogPublisher

from pollenstile.ops.events import define

STRAY_ERROR = define(
    8014,
    'stray-error',
    'An error of the program was caught by nothing but its event loop.',
    'Report it as a bug, with the line and the traceback.',
)
_MAX_LOGGED = 200


def report_strays(log):
    """Write a line for each error that only the event loop has caught.

    Explanation
    ===========

    Twisted prints their tracebacks, which no metric counts and no line
    explains: a timer that was not set again, a step that nobody waits for.

    Parameters
    ==========

    log : function
        Takes an event and its fields.

    Returns
    =======

    function
        Ends the reports.
    """

    def note(entry):
        failure = entry.get('log_failure')
        if failure is None:
            return
        frames = failure.getTracebackObject()
        log(
            STRAY_ERROR,
            level='error',
            reason=failure.type.__name__,
            error=repr(failure.value)[:_MAX_LOGGED],
            place=_place(frames),
        )

    globalLogPublisher.addObserver(note)
    return lambda: globalLogPublisher.removeObserver(note)


def _place(frame):
    """Return the function and the line at the end of a traceback."""
    if frame is None:
        return ''
    while frame.tb_next is not None:
        frame = frame.tb_next
    return f'{frame.tb_frame.f_code.co_name}:{frame.tb_lineno}'
