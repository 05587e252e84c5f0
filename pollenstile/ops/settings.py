"""Settings from flags and environment variables, validated together.

Explanation
===========

A setting has one flag and one environment variable; the flag wins. All values
are checked at the start, and every mistake gives one line.
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
    """Settings have mistakes; ``mistakes`` holds a line for each."""

    def __init__(self, mistakes):
        super().__init__('; '.join(mistakes))
        self.mistakes = tuple(mistakes)


@dataclass(slots=True, frozen=True)
class Setting:
    """One setting.

    Parameters
    ==========

    name : str
        Attribute name; the flag is ``--name`` with dashes.
    parse : function
        From text to value; raises ValueError with the reason.
    default : str or None
        As text; None when a value must be given.
    meaning : str
        For help and docs, with the unit.
    """

    name: str
    parse: object
    default: str | None
    meaning: str

    @property
    def flag(self):
        """The command line flag."""
        return '--{}'.format(self.name.replace('_', '-'))

    @property
    def environment_name(self):
        """The environment variable."""
        return PREFIX + self.name.upper()


def address(text):
    """Return ``(ip, port)`` from ``'IP:PORT'``; port 0 means any.

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


def format_address(address):
    """Return ``'IP:PORT'`` of an address.

    Examples
    ========

    >>> from pollenstile.ops.settings import shown
    >>> shown(('127.0.0.1', 80))
    '127.0.0.1:80'
    """
    host, port = address
    return f'{host}:{port}'


def parsed(name, parse, text):
    """Return what a text of the command line says.

    Raises
    ======

    SettingsError
        With one line that names the flag or argument.
    """
    try:
        return parse(text)
    except ValueError as error:
        raise SettingsError([f'{name}: {error}']) from None


def optional_address(text):
    """Return an address, or None from an empty text."""
    return address(text) if text else None


def addresses(text):
    """Return a tuple of addresses from a list parted by commas."""
    parts = [part.strip() for part in text.split(',')]
    return tuple(address(part) for part in parts if part)


def identifier(text):
    """Return a name of lower-case letters, digits, dots and dashes."""
    if not _NAME.fullmatch(text):
        raise ValueError(f'{text!r} is not a name like erie-hall-1')
    return text


def level(text):
    """Return a log level's name."""
    if text not in _LEVELS:
        raise ValueError(f'{text!r} is none of {", ".join(_LEVELS)}')
    return text


def number_from(least, most, kind=int):
    """Return a parser of numbers in a range, both ends included."""

    def parse(text):
        try:
            value = kind(text)
        except ValueError:
            raise ValueError(f'{text!r} is not a number') from None
        if not least <= value <= most:
            raise ValueError(f'{text!r} is not from {least} to {most}')
        return value

    return parse


def text_of(text):
    """Return a text as it is."""
    return text


ENTRY = (
    Setting('host', identifier, None, 'name of this host, unique'),
    Setting('domain', identifier, None, 'failure domain of this host'),
    Setting('listen', address, '127.0.0.1:8080', "callers' address"),
    Setting('admin', address, '127.0.0.1:8081', "operators' address"),
    Setting('peer_listen', address, '127.0.0.1:8082', "peers' address"),
    Setting('peers', addresses, '', 'peer addresses known from the start'),
    Setting(
        'peer_key',
        text_of,
        '',
        'key shared by all entry hosts; NEW,OLD while it is changed',
    ),
    Setting('platform', optional_address, '', "the platform's object API"),
    Setting('hosts', optional_address, '', "the platform's host list"),
    Setting(
        'store_calls',
        number_from(1, 10000, float),
        '20',
        'calls to the object API, a second',
    ),
    Setting(
        'store_writes',
        number_from(1, 10000, float),
        '10',
        'of these, writes a second',
    ),
    Setting('statsd', optional_address, '', 'statsd server; empty for none'),
    Setting('log_level', level, 'info', 'least level that is logged'),
    Setting(
        'max_running',
        number_from(1, 100000),
        '2000',
        'requests that run side by side',
    ),
    Setting('seed', number_from(0, 2**63), '0', 'random seed; 0 for any'),
)


FORWARD = (
    Setting('host', identifier, None, 'name of this host, unique'),
    Setting('domain', identifier, None, 'failure domain of this host'),
    Setting('store', address, None, "the platform's object API"),
    Setting('callers', address, '127.0.0.1:8080', "callers' address"),
    Setting('ready', address, '127.0.0.1:8081', "the balancer's question"),
    Setting('peers', address, '127.0.0.1:8082', "peers' address"),
    Setting(
        'peers_seen',
        optional_address,
        '',
        'where peers reach this host, when that is another address',
    ),
    Setting('metrics', optional_address, '', 'measures; empty for none'),
    Setting(
        'revoke_seconds',
        number_from(1, 60, float),
        '5',
        'seconds after which a key that was taken away has stopped working',
    ),
    Setting(
        'apply_seconds',
        number_from(1, 60, float),
        '2',
        'seconds after which a change of the configuration is in force',
    ),
    Setting(
        'leave_seconds',
        number_from(1, 60, float),
        '2',
        'seconds after which an upstream that leaves gets nothing more',
    ),
    Setting(
        'drain_seconds',
        number_from(1, 60, float),
        '5',
        'seconds after which a drained failure domain gets nothing more',
    ),
    Setting(
        'grace_seconds',
        number_from(3, 600, float),
        '8',
        'seconds from SIGTERM until the host is killed',
    ),
    Setting(
        'capacity',
        number_from(0.01, 1024, float),
        '1',
        'cores; larger hosts take the shared work first',
    ),
)


class Settings:
    """Validated values, one attribute for each setting."""

    def __init__(self, values):
        for name, value in values.items():
            setattr(self, name, value)


def add_flags(parser, table):
    """Add a flag for each setting to an argparse parser."""
    for setting in table:
        format_address = setting.default if setting.default else 'none'
        if setting.default is None:
            format_address = 'required'
        parser.add_argument(
            setting.flag,
            dest=setting.name,
            metavar=setting.name.upper(),
            help=f'{setting.meaning} [{setting.environment_name}; {format_address}]',
        )


def settings_from(arguments, table, environment=None):
    """Return validated settings.

    Parameters
    ==========

    arguments : argparse.Namespace
        With an attribute for each setting, None where no flag was given.
    table : tuple of Setting
        What to read.
    environment : mapping
        ``os.environ`` unless given.

    Raises
    ======

    SettingsError
        With one line for each mistake.
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
