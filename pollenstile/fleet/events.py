"""Log events of the fleet."""

from pollenstile.ops.events import define

CONFIG_IN_FORCE = define(
    4001,
    'config-in-force',
    'This host serves under this version from now on.',
)
CONFIG_INVALID = define(
    4002,
    'config-invalid',
    'A version does not validate; the one before stays in force.',
    'Apply a version that validates; see who wrote this one.',
)
