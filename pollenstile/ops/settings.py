"""Settings from command line flags and environment variables.

Explanation
===========

A setting has one flag and one environment variable; the flag takes
precedence. All values are validated at the start, and each mistake gives one
error line.
"""

import os
import re
from dataclasses import dataclass
from ipaddress import ip_address

from pollenstile.ops.numbers import whole_number

PREFIX = 'POLLENSTILE_'
_NAME = re.compile(r'[a-z0-9][a-z0-9.-]{0,62}')
_LEVELS = ('debug', 'info', 'warning', 'error')
_HIGHEST_PORT = 65535


class SettingsError(Exception):
    """Raised for invalid settings; ``mistakes`` holds a line for each."""

    def __init__(self, mistakes):
        super().__init__('; '.join(mistakes))
        self.mistakes = tuple(mistakes)


@dataclass(slots=True, frozen=True)
class Setting:
    """Definition of one setting.

    Parameters
    ==========

    name : str
        Attribute name; the flag is ``--name`` with dashes.
    parse : function
        Converts text to the value; raises ValueError with the reason.
    default : str or None
        Default as text; None when the setting is required.
    meaning : str
        Description for the help text and docs, with the unit.
    """

    name: str
    parse: object
    default: str | None
    meaning: str

    @property
    def flag(self):
        """Return the command line flag."""
        return '--{}'.format(self.name.replace('_', '-'))

    @property
    def environment_name(self):
        """Return the name of the environment variable."""
        return PREFIX + self.name.upper()


def address(text):
    """Return ``(ip, port)`` from ``'IP:PORT'``; port 0 means any free port.

    Examples
    ========

    >>> from pollenstile.ops.settings import address
    >>> address('127.0.0.1:80')
    ('127.0.0.1', 80)
    """
    host, _, port = text.rpartition(':')
    try:
        ip_address(host.strip('[]'))
    except ValueError:
        raise ValueError(f'{text!r} is not IP:PORT') from None
    number = whole_number(port)
    if number is None or number > _HIGHEST_PORT:
        raise ValueError(f'{text!r} has no port from 0 to {_HIGHEST_PORT}')
    return host.strip('[]'), number


def is_address(text):
    """Return whether a text is the ``IP:PORT`` of a server with IPv4.

    Examples
    ========

    >>> from pollenstile.ops.settings import is_address
    >>> is_address('10.0.0.1:80'), is_address('10.0.0.256:80')
    (True, False)
    >>> is_address('10.0.0.1:99999'), is_address('desk:80')
    (False, False)
    """
    try:
        host, port = address(text)
    except ValueError:
        return False
    return port > 0 and text == f'{host}:{port}'


def format_address(address):
    """Return ``'IP:PORT'`` of an address.

    Examples
    ========

    >>> from pollenstile.ops.settings import format_address
    >>> format_address(('127.0.0.1', 80))
    '127.0.0.1:80'
    """
    host, port = address
    return f'{host}:{port}'


def parse_argument(name, parse, text):
    """Parse the text of a command line argument and return its value.

    Raises
    ======

    SettingsError
        When the text is invalid; the line names the flag or argument.
    """
    try:
        return parse(text)
    except ValueError as error:
        raise SettingsError([f'{name}: {error}']) from None


def optional_address(text):
    """Return an address, or None for an empty text."""
    return address(text) if text else None


def addresses(text):
    """Return a tuple of addresses from a comma-separated list."""
    parts = [part.strip() for part in text.split(',')]
    return tuple(address(part) for part in parts if part)


def identifier(text):
    """Return a valid name of lower-case letters, digits, dots and dashes."""
    if not _NAME.fullmatch(text):
        raise ValueError(f'{text!r} is not a name like erie-hall-1')
    return text


def level(text):
    """Return a valid log level name."""
    if text not in _LEVELS:
        raise ValueError(f'{text!r} is none of {", ".join(_LEVELS)}')
    return text


def number_in_range(least, most, kind=int):
    """Return a function that parses numbers in an inclusive range."""

    def parse(text):
        try:
            value = kind(text)
        except ValueError:
            raise ValueError(f'{text!r} is not a number') from None
        if not least <= value <= most:
            raise ValueError(f'{text!r} is not from {least} to {most}')
        return value

    return parse


def unchanged_text(text):
    """Return a text unchanged."""
    return text


ENTRY = (
    Setting('host', identifier, None, 'unique name of this host'),
    Setting('domain', identifier, None, 'failure domain of this host'),
    Setting('listen', address, '127.0.0.1:8080', 'address for callers'),
    Setting('admin', address, '127.0.0.1:8081', 'address for operators'),
    Setting('peer_listen', address, '127.0.0.1:8082', 'address for peers'),
    Setting('peers', addresses, '', 'initially known peer addresses'),
    Setting(
        'peer_key',
        unchanged_text,
        '',
        'key shared by all entry hosts; NEW,OLD during a key rotation',
    ),
    Setting('platform', optional_address, '', "the platform's object API"),
    Setting('hosts', optional_address, '', "the platform's host list"),
    Setting(
        'store_calls',
        number_in_range(1, 10000, float),
        '20',
        'calls to the object API per second',
    ),
    Setting(
        'store_writes',
        number_in_range(1, 10000, float),
        '10',
        'writes among these calls per second',
    ),
    Setting(
        'statsd',
        optional_address,
        '',
        'address of the statsd server; empty for none',
    ),
    Setting('log_level', level, 'info', 'lowest level that is logged'),
    Setting(
        'max_running',
        number_in_range(1, 100000),
        '2000',
        'requests that run concurrently',
    ),
    Setting(
        'grace_seconds',
        number_in_range(1, 600, float),
        '30',
        'seconds from SIGTERM until the host is killed',
    ),
    Setting(
        'seed',
        number_in_range(0, 2**63),
        '0',
        'random seed; 0 for an arbitrary one',
    ),
)


FORWARD = (
    Setting('host', identifier, None, 'unique name of this host'),
    Setting('domain', identifier, None, 'failure domain of this host'),
    Setting('store', address, None, "the platform's object API"),
    Setting('callers', address, '127.0.0.1:8080', 'address for callers'),
    Setting(
        'ready',
        address,
        '127.0.0.1:8081',
        "address for the load balancer's readiness check",
    ),
    Setting('peers', address, '127.0.0.1:8082', 'address for peers'),
    Setting(
        'peers_seen',
        optional_address,
        '',
        'address at which peers reach this host, if different',
    ),
    Setting(
        'tunnels',
        optional_address,
        '',
        'address at which peers that lack a path pick up connections to'
        ' upstreams; empty for none',
    ),
    Setting(
        'metrics', optional_address, '', 'address for metrics; empty for none'
    ),
    Setting(
        'revoke_seconds',
        number_in_range(1, 60, float),
        '5',
        'seconds until a revoked key no longer works',
    ),
    Setting(
        'apply_seconds',
        number_in_range(1, 60, float),
        '2',
        'seconds until a change of the configuration is in force',
    ),
    Setting(
        'leave_seconds',
        number_in_range(1, 60, float),
        '2',
        'seconds until a leaving upstream gets no new work',
    ),
    Setting(
        'drain_seconds',
        number_in_range(1, 60, float),
        '5',
        'seconds until a drained failure domain gets no new work',
    ),
    Setting(
        'grace_seconds',
        number_in_range(3, 600, float),
        '8',
        'seconds from SIGTERM until the host is killed',
    ),
    Setting(
        'capacity',
        number_in_range(0.01, 1024, float),
        '1',
        'cores of this host; larger hosts run shared work first',
    ),
    Setting(
        'descriptors',
        number_in_range(0, 10_000_000, int),
        '0',
        'descriptors that the process may open, 0 if unknown; a third of them'
        ' bounds the connections of callers',
    ),
    Setting(
        'return_times',
        number_in_range(0, 1, int),
        '0',
        'whether refused callers of graded stage queues are promised a time to'
        ' return: 0 or 1; more are answered, fewer within their target latency',
    ),
    Setting(
        'engine_speeds',
        number_in_range(0, 1, int),
        '0',
        'whether measured speeds and reported slowdowns decide on engines: 0 or'
        ' 1; hosts exchange what they measure',
    ),
)


class Settings:
    """Validated values with one attribute per setting."""

    def __init__(self, values):
        for name, value in values.items():
            setattr(self, name, value)


def add_flags(parser, table):
    """Add a flag for each setting to an argparse parser."""
    for setting in table:
        default = setting.default if setting.default else 'none'
        if setting.default is None:
            default = 'required'
        parser.add_argument(
            setting.flag,
            dest=setting.name,
            metavar=setting.name.upper(),
            help=f'{setting.meaning} [{setting.environment_name}; {default}]',
        )


def settings_from(arguments, table, environment=None):
    """Read and validate settings.

    Parameters
    ==========

    arguments : argparse.Namespace
        One attribute per setting; None where the flag is absent.
    table : tuple of Setting
        Settings to read.
    environment : mapping
        ``os.environ`` unless given.

    Raises
    ======

    SettingsError
        When settings are invalid, with one line for each mistake.
    """
    variables = os.environ if environment is None else environment
    values = {}
    mistakes = []
    for setting in table:
        given = getattr(arguments, setting.name, None)
        origin = setting.flag
        if given is None:
            given = variables.get(setting.environment_name)
            origin = setting.environment_name
        if given is None:
            given = setting.default
        if given is None:
            mistakes.append(
                f'{setting.flag} or {setting.environment_name} is required',
            )
            continue
        try:
            values[setting.name] = setting.parse(given)
        except ValueError as error:
            mistakes.append(f'{origin}: {error}')
    if mistakes:
        raise SettingsError(mistakes)
    return Settings(values)
