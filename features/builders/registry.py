"""Builders of the registry's entries, sound and foreign, on the wire."""

import json

# An entry as an upstream writes it.
ENTRY = {
    'service': 'desk',
    'address': '10.2.0.3:8080',
    'zone': 'zone-b',
    'version': 'v1',
    'slots': 6,
    'state': 'ready',
    'cold_left_ms': 0,
    'seq': 4,
}
SOUND = ('i-1', 'i-2')
# Marks in a page that become bytes that JSON can't be written with.
_BYTE = '<byte>'
_SURROGATE = '<surrogate>'
# A backslash, and the first half of a pair.
_HALF_PAIR = bytes((0x5C, *b'ud800'))


def entry(**fields):
    """Return an entry; a field that is None is left out."""
    document = {**ENTRY, **fields}
    return {name: one for name, one in document.items() if one is not None}


def wire_object(name, spec):
    """Return an object of the store as it stands on the wire."""
    return {'metadata': {'name': name, 'revision': 7}, 'spec': spec}


FOREIGN = {
    'no service': wire_object('x', entry(service=None)),
    'no address': wire_object('x', entry(address=None)),
    'a number for its service': wire_object('x', entry(service=3)),
    'text for its slots': wire_object('x', entry(slots='six')),
    'zero slots': wire_object('x', entry(slots=0)),
    'an unknown state': wire_object('x', entry(state='resting')),
    'a name for its address': wire_object('x', entry(address='desk:80')),
    'text for its start time': wire_object('x', entry(born='1000')),
    'a fraction for its start time': wire_object('x', entry(born=1000.5)),
    'no content': wire_object('x', None),
    'a list for an object': ['x', 'y'],
    'no name': {'metadata': {'revision': 7}, 'spec': entry()},
    'a byte that is not UTF-8': wire_object('x', entry(state=_BYTE)),
    'a number that is NaN': wire_object('x', entry(slots=float('nan'))),
    'an infinite number': wire_object('x', entry(slots=float('inf'))),
    'half a surrogate pair': wire_object('x', entry(state=_SURROGATE)),
}


def page_with(rows):
    """Return the bytes of a list: the first sound entry, rows, the second."""
    first, second = (wire_object(name, entry()) for name in SOUND)
    return _encoded({'items': [first, *rows, second], 'current_rev': 9})


def events_with(rows):
    """Return the bytes of a watch's answer, with the same in a row."""
    first, second = (wire_object(name, entry()) for name in SOUND)
    events = [
        {'object': one, 'tombstone': False} for one in (first, *rows, second)
    ]
    return _encoded({'events': events, 'current_rev': 9})


def _encoded(document):
    body = json.dumps(document).encode()
    body = body.replace(_BYTE.encode(), bytes((0xFF,)))
    return body.replace(_SURROGATE.encode(), _HALF_PAIR)
