"""Log events of the software versions at which streams began."""

from pollenstile.ops.events import define

STREAM_BOUND = define(
    1801,
    'stream-bound',
    'A stream that its caller takes up goes on only at this software version.',
)
STREAM_UNBOUND = define(
    1802,
    'stream-unbound',
    'A stream that its caller takes up is refused: its software version is unknown.',
    'With `pollenstile explain` of `resumes`, look for the host that began it.',
)
SOFTWARE_MIXED = define(
    1803,
    'software-mixed',
    'Several software versions serve a service; hosts tell keepers of streams.',
)
ORIGINS_UNSENT = define(
    1804,
    'origins-unsent',
    'No keeper of a failure domain has taken the versions of streams.',
    'Frequent lines: check the links between hosts.',
)
ORIGINS_DROPPED = define(
    1805,
    'origins-dropped',
    'More streams than fit are known; the oldest are forgotten.',
)
ORIGIN_CONFLICT = define(
    1806,
    'origin-conflict',
    'Two hosts name different versions for one stream; the first stays.',
    'Its events may be of two versions: report it as a bug, with the line.',
)
SOFTWARE_RECORDED = define(
    1807,
    'software-recorded',
    'The versions of a service were written to the store, or deleted there.',
)
SOFTWARE_UNRECORDED = define(
    1808,
    'software-unrecorded',
    'The versions of a service could not be read or written; it is tried again.',
)
STREAMS_READ = define(
    1809,
    'streams-read',
    'The versions of streams of a failure domain were read from the store.',
)
STREAMS_UNRECORDED = define(
    1810,
    'streams-unrecorded',
    'The versions of streams could not be read or written; it is tried again.',
    'While these lines last, streams are refused if all hosts end.',
)
STREAMS_HANDED_OVER = define(
    1811,
    'streams-handed-over',
    'The store did not take the versions of streams here; a peer has written them.',
    'Frequent lines: check the path of this host to the store.',
)
HANDOVER_FAILED = define(
    1812,
    'handover-failed',
    'An unexpected exception ended a handover of streams; it is tried again.',
    'Report it with the complete line.',
)
