"""Entries of streams in the store."""

import base64
import binascii

from pollenstile.origins._table import Origin

# Kind of the store's entries, before the name of a failure domain. Each host
# that records streams of that domain has one entry, named after it.
STREAMS_KIND = 'pollenstile-streams'
_KEY_BYTES = 8


def streams_kind(domain):
    """Return the kind of the entries of a failure domain."""
    return f'{STREAMS_KIND}-{domain}'


def encode_entry(origins):
    """Return the entry of streams, given by key."""
    groups = {}
    for key, origin in origins.items():
        groups.setdefault(origin.software, []).append(key)
    return {
        'streams': {
            software: base64.b64encode(b''.join(keys)).decode()
            for software, keys in groups.items()
        }
    }


def decode_entry(value, expires_at):
    """Return the streams of an entry by key; none of another writer's."""
    groups = value.get('streams') if isinstance(value, dict) else None
    if not isinstance(groups, dict):
        return {}
    origins = {}
    for software, text in groups.items():
        keys = _decode_keys(text)
        origins.update({key: Origin(software, '', expires_at) for key in keys})
    return origins


def _decode_keys(text):
    try:
        keys = base64.b64decode(text, validate=True)
    except (binascii.Error, TypeError, ValueError):
        return ()
    if len(keys) % _KEY_BYTES:
        return ()
    starts = range(0, len(keys), _KEY_BYTES)
    return [keys[start : start + _KEY_BYTES] for start in starts]
