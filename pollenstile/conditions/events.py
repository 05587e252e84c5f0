"""Log events of the conditions of engines."""

from pollenstile.ops.events import define

LOAD_UNREADABLE = define(
    4101,
    'load-unreadable',
    'An answer states a load that is not readable; it is ignored.',
    'Correct the upstream; the line has the value.',
)
SPEEDS_UNSHARED = define(
    4102,
    'speeds-unshared',
    'The reader of the domain did not answer a question for measured speeds of'
    ' engines; the host goes on with those that it has.',
    'Many: compare the releases of the hosts, and look for event 1232.',
)
SPEEDS_UNREADABLE = define(
    4103,
    'speeds-unreadable',
    'A host sent measured speeds that are not readable; they are ignored and'
    ' answered empty.',
    'Compare the releases of the hosts.',
)
