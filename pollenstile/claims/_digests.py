"""Digests of keys and contents, and the names that follow from them."""

import hashlib

import msgspec
import xxhash

KIND = 'claims'
_DIGEST_BYTES = 16


def key_digest(team, pipeline, key):
    """Return what a key is known by; another team's same key is another.

    Examples
    ========

    >>> from pollenstile.claims._digests import key_digest
    >>> key_digest('salons', 'log', 'k') == key_digest('desks', 'log', 'k')
    False
    """
    return _digest(msgspec.json.encode([team, pipeline, key]))


def content_digest(content):
    """Return what a content is known by, whatever the order of its fields.

    Examples
    ========

    >>> from pollenstile.claims._digests import content_digest
    >>> first = content_digest({'bed': 1, 'minutes': 9})
    >>> first == content_digest({'minutes': 9, 'bed': 1})
    True
    """
    return _digest(msgspec.json.encode(content, order='sorted'))


def shard_of(key, shards):
    """Return the number of the shard that a key digest belongs to.

    Examples
    ========

    >>> from pollenstile.claims._digests import shard_of
    >>> 0 <= shard_of('00ff', 32) < 32
    True
    """
    return xxhash.xxh64_intdigest(key.encode()) % shards


def shard_prefix(shard):
    """Return what the names of a shard's objects begin with."""
    return f'{shard:03d}/'


def object_name(shard, sequence):
    """Return the name of a segment; names sort as their numbers do.

    Examples
    ========

    >>> from pollenstile.claims._digests import object_name
    >>> object_name(7, 41)
    '007/000000000041'
    """
    return f'{shard_prefix(shard)}{sequence:012d}'


def sequence_of(name):
    """Return a segment's number within its shard."""
    return int(name.rpartition('/')[2])


def _digest(encoded):
    # A collision would tell one caller another's outcome, and callers choose
    # their keys: so a cryptographic digest.
    return hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES).hexdigest()
