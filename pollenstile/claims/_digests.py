"""Digests of keys and request inputs, shard numbers and object names."""

import hashlib

import msgspec
import xxhash

KIND = 'claims'
_DIGEST_BYTES = 16


def key_digest(team, pipeline, key):
    """Return the digest of a key, scoped to its team and pipeline.

    Examples
    ========

    >>> from pollenstile.claims._digests import key_digest
    >>> key_digest('salons', 'log', 'k') == key_digest('desks', 'log', 'k')
    False
    """
    return _digest(msgspec.json.encode([team, pipeline, key]))


def digest_content(content):
    """Return the digest of a request's input, independent of field order.

    Examples
    ========

    >>> from pollenstile.claims._digests import digest_content
    >>> first = digest_content({'bed': 1, 'minutes': 9})
    >>> first == digest_content({'minutes': 9, 'bed': 1})
    True
    """
    return _digest(msgspec.json.encode(content, order='sorted'))


def shard_for_key(key, shards):
    """Return the number of the shard to which a key digest maps.

    Examples
    ========

    >>> from pollenstile.claims._digests import shard_for_key
    >>> 0 <= shard_for_key('00ff', 32) < 32
    True
    """
    return xxhash.xxh64_intdigest(key.encode()) % shards


def shard_prefix(shard):
    """Return the prefix of the names of a shard's objects."""
    return f'{shard:03d}/'


def object_name(shard, sequence):
    """Return the name of a segment's object; names sort by sequence number.

    Examples
    ========

    >>> from pollenstile.claims._digests import object_name
    >>> object_name(7, 41)
    '007/000000000041'
    """
    return f'{shard_prefix(shard)}{sequence:012d}'


def parse_sequence(name):
    """Return the sequence number in a segment's object name."""
    return int(name.rpartition('/')[2])


def _digest(encoded):
    # The digest is cryptographic because callers choose their keys, and a
    # collision would return one caller's outcome to another.
    return hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES).hexdigest()
