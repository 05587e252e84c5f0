"""Log events of promised return times."""

from pollenstile.ops.events import define

RETURN_PROMISED = define(
    4161,
    'return-promised',
    'A refused caller was told a time to return at which it is admitted before'
    ' new callers; the line has the pieces promised so far in its slot.',
)
