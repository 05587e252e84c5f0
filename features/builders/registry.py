"""Builders of registry entries on the wire, valid and invalid."""

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
# Placeholders in a page for bytes that ``json.dumps`` can't produce.
_BYTE = '<byte>'
_SURROGATE = '<surrogate>'
# A backslash and the escape of the first half of a surrogate pair.
_HALF_PAIR = bytes((0x5C, *b'ud800'))


def entry(**fields):
    """Return an entry; fields that are None are left out."""
    document = {**ENTRY, **fields}
    return {
        name: value for name, value in document.items() if value is not None
    }


def wire_object(name, spec):
    """Return an object of the store in its wire format."""
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
    'a byte that is undecodable': wire_object('x', entry(state=_BYTE)),
    'a number that is NaN': wire_object('x', entry(slots=float('nan'))),
    'an infinite number': wire_object('x', entry(slots=float('inf'))),
    'half a surrogate pair': wire_object('x', entry(state=_SURROGATE)),
}


def page_with(rows):
    """Return an encoded list: a valid entry, the rows, another valid entry."""
    first, second = (wire_object(name, entry()) for name in SOUND)
    return _encoded({'items': [first, *rows, second], 'current_rev': 9})


def events_with(rows):
    """Return an encoded answer to a watch with the same objects as events."""
    first, second = (wire_object(name, entry()) for name in SOUND)
    events = [
        {'object': item, 'tombstone': False} for item in (first, *rows, second)
    ]
    return _encoded({'events': events, 'current_rev': 9})


def _encoded(document):
    body = json.dumps(document).encode()
    body = body.replace(_BYTE.encode(), bytes((0xFF,)))
    return body.replace(_SURROGATE.encode(), _HALF_PAIR)
