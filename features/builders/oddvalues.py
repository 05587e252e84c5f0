"""Builders of values that other writers may put into the store, as bytes."""

import json
from urllib.parse import parse_qs, urlsplit

from features.builders.registry import SOUND, entry, wire_object
from pollenstile.platform import Reply

_MARK = '@odd'
_QUOTED_MARK = json.dumps(_MARK).encode()
_UNDER = 50
_OVER = 1100
_MANY = 400_000

_DEEP = b'[' * _OVER
_DEEP_END = b']' * _OVER

# JSON texts, some of which no strict decoder reads.
ODD = {
    'a number out of range': b'1e999',
    'a negative number out of range': b'-1e400',
    'a number of 5,000 digits': b'1' * 5000,
    'a number of 400 digits': b'1' * 400,
    'a control character': b'"\x01"',
    'a byte that is no UTF-8': b'"\xff"',
    'half a surrogate pair': b'"%sud800"' % bytes((0x5C,)),
    'an escape that is none': rb'"\x"',
    'NaN': b'NaN',
    'a number with a zero in front': b'01',
    'a word': b'hello',
    'nothing': b'',
    'brackets that do not match': b'[}',
    'a map whose key is a number': b'{1: 2}',
    '50 lists in lists': b'%s%s' % (b'[' * _UNDER, b']' * _UNDER),
    '900 lists in lists': b'%s%s' % (b'[' * 900, b']' * 900),
    '1,100 lists in lists': b'%s%s' % (_DEEP, _DEEP_END),
    '1,100 maps in maps': b'%s1%s' % (b'{"a":' * _OVER, b'}' * _OVER),
    '400,000 lists in lists': b'%s%s' % (b'[' * _MANY, b']' * _MANY),
    'a control character in deep lists': (
        b'["\x01", %s%s]' % (_DEEP, _DEEP_END)
    ),
    'brackets in texts of deep lists': (
        b'%s1%s' % (b'["]", ' * _OVER, _DEEP_END)
    ),
    'a text of 900,000 bytes': b'"%s"' % (b'a' * 900_000),
}
NAME = 'x'


def odd_entries(form):
    """Return the rows of another writer: as a field and as the whole value.

    Parameters
    ==========

    form : str
        A key of :data:`ODD`; the bytes are put in by :func:`encoded`.
    """
    assert form in ODD
    return [
        wire_object(f'{NAME}-slots', entry(slots=_MARK)),
        wire_object(f'{NAME}-address', entry(address=_MARK)),
        wire_object(f'{NAME}-value', _MARK),
    ]


def page_of(form):
    """Return an encoded list with two sound entries around odd ones."""
    first, second = (wire_object(name, entry()) for name in SOUND)
    rows = [first, *odd_entries(form), second]
    return encoded({'items': rows, 'current_rev': 9}, form)


def events_of(form):
    """Return an encoded answer to a watch with the same rows."""
    first, second = (wire_object(name, entry()) for name in SOUND)
    rows = [first, *odd_entries(form), second]
    events = [{'object': row, 'tombstone': False} for row in rows]
    return encoded({'events': events, 'current_rev': 9}, form)


def object_of(form):
    """Return an encoded object whose value is odd."""
    return encoded(wire_object(NAME, _MARK), form)


def encoded(document, form):
    """Return a document whose marks are replaced by the odd bytes."""
    return json.dumps(document).encode().replace(_QUOTED_MARK, ODD[form])


class RawStore:
    """Answers the calls of a store client with objects of any bytes.

    Attributes
    ==========

    objects : dict
        Texts of the stored objects, by name, with their revisions.
    changes : list of tuple
        Revision and text of each change.
    """

    peer = '10.9.0.7:8624'
    bodies_in_progress = 0

    def __init__(self):
        self.objects = {}
        self.changes = []
        self.revision = 0

    def put(self, name, text):
        """Write an object whose value has a JSON text."""
        self.revision += 1
        row = b'{"metadata": {"name": "%s", "revision": %d}, "spec": %s}' % (
            name.encode(),
            self.revision,
            text,
        )
        self.objects[name] = row
        self.changes.append((self.revision, row))

    async def call(self, method, path, body=None, timeout=None, fresh=False):
        """Return a list, or at once what a watch tells."""
        query = parse_qs(urlsplit(path).query)
        if 'watch' not in query:
            return self._reply(b'items', self.objects.values())
        since = int(query['watch'][0])
        rows = [
            b'{"object": %s}' % row
            for revision, row in self.changes
            if revision > since
        ]
        return self._reply(b'events', rows)

    def _reply(self, field, rows):
        fields = (field, b', '.join(rows), self.revision)
        return Reply(200, b'{"%s": [%s], "current_rev": %d}' % fields)
