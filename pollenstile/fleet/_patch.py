"""Handing over a manifest in few bytes to a peer that has another version.

Explanation
===========

A change touches one place of a long text. So only what lies between the
common beginning and the common end is sent, compressed. The digest of the
whole tells whether the result is right; the whole is sent otherwise.
"""

import hashlib
import zlib
from dataclasses import dataclass

_DIGEST_BYTES = 16
# The store holds values up to a megabyte; a text that unpacks to more is
# no manifest, whoever sends it.
MOST_TEXT = 1000000


@dataclass(slots=True, frozen=True)
class Patch:
    """What turns a text into another one.

    Parameters
    ==========

    prefix, suffix : int
        Bytes kept from the start and the end of the old text.
    middle : bytes
        What comes between them, compressed.
    digest : bytes
        Of the new text.
    """

    prefix: int
    suffix: int
    middle: bytes
    digest: bytes


def text_digest(text):
    """Return 16 bytes that tell texts apart."""
    encoded = text.encode()
    return hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES).digest()


def patch_between(old, new):
    """Return the patch from one text to another.

    Examples
    ========

    >>> from pollenstile.fleet import patch_between, patched
    >>> patch = patch_between('weight: 1.0 end', 'weight: 2.5 end')
    >>> patch.prefix, patch.suffix
    (8, 4)
    >>> patched('weight: 1.0 end', patch)
    'weight: 2.5 end'
    >>> patched('height: 1.0 end', patch) is None
    True
    """
    before = old.encode()
    after = new.encode()
    prefix = _common_length(before, after)
    suffix = _common_length(
        bytes(reversed(before[prefix:])),
        bytes(reversed(after[prefix:])),
    )
    middle = after[prefix : len(after) - suffix]
    return Patch(prefix, suffix, zlib.compress(middle), text_digest(new))


def _common_length(one, other):
    """Return how many first bytes are the same, by bisection."""
    low = 0
    high = min(len(one), len(other))
    while low < high:
        middle = (low + high + 1) // 2
        if one[low:middle] == other[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low


def patched(old, patch):
    """Return the new text, or None when the patch does not fit the old one."""
    before = old.encode()
    if patch.prefix + patch.suffix > len(before):
        return None
    middle = _unpacked(patch.middle)
    if middle is None:
        return None
    end = before[len(before) - patch.suffix :] if patch.suffix else b''
    try:
        text = (before[: patch.prefix] + middle + end).decode()
    except UnicodeDecodeError:
        return None
    return text if text_digest(text) == patch.digest else None


def _unpacked(packed):
    unpacker = zlib.decompressobj()
    try:
        unpacked = unpacker.decompress(packed, MOST_TEXT)
    except zlib.error:
        return None
    return unpacked if unpacker.eof else None
