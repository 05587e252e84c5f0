"""Handing over a text in few bytes to a peer that has another version.

Explanation
===========

A change of a configuration touches a few places of a long text: its version,
a route, a key. What both texts have in common at their ends is left out, and
between them the rows that the peer has are named, not sent. The digest of the
whole tells whether the result is right; the whole is sent otherwise.
"""

import hashlib
import zlib
from collections import OrderedDict
from dataclasses import dataclass

import msgspec

_DIGEST_BYTES = 16
# Texts that a host keeps for its peers.
_KEPT = 6
# The store holds values up to a megabyte; a text that unpacks to more is
# none of its values, whoever sends it.
MOST_TEXT = 1000000
# Between the rows of a list of objects in JSON.
_ROW_END = b'},'


class Kept(msgspec.Struct, array_like=True, tag=0):
    """Bytes that the old text has."""

    start: int
    length: int


class Added(msgspec.Struct, array_like=True, tag=1):
    """Bytes that the old text does not have."""

    content: bytes


_edits = msgspec.msgpack.Decoder(list[Kept | Added])


@dataclass(slots=True, frozen=True)
class Patch:
    """What turns a text into another one.

    Parameters
    ==========

    prefix, suffix : int
        Bytes kept from the start and the end of the old text.
    middle : bytes
        What comes between them: edits of the old text's bytes there,
        compressed.
    digest : bytes
        Of the new text.
    """

    prefix: int
    suffix: int
    middle: bytes
    digest: bytes


def patch_fields(patch):
    """Return a patch as the fields of the messages that carry one."""
    return {
        'prefix': patch.prefix,
        'suffix': patch.suffix,
        'middle': patch.middle,
        'digest': patch.digest,
    }


def patch_from(reader):
    """Return the patch that a message carries."""
    return Patch(
        reader.prefix,
        reader.suffix,
        bytes(reader.middle),
        bytes(reader.digest),
    )


class RecentTexts:
    """The latest texts of a host, and patches to the newest.

    Explanation
    ===========

    Several peers ask at one time from the same text, so each patch is made
    once. A few texts are kept: a peer that missed some of them, in a storm of
    changes, is still told by a patch.

    Attributes
    ==========

    texts : OrderedDict
        By what peers name them; the newest is the last.
    patches : dict
        To the newest, by the text that they start from; None for no text.
    """

    __slots__ = ('patches', 'texts')

    def __init__(self):
        self.texts = OrderedDict()
        self.patches = {}

    def keep(self, name, text):
        """Keep a text; it is the newest."""
        self.patches.clear()
        self.texts[name] = text
        self.texts.move_to_end(name)
        while len(self.texts) > _KEPT:
            self.texts.popitem(last=False)

    def patch_from(self, name):
        """Return the patch to the newest text, from none if one is unknown."""
        known = name if name in self.texts else None
        patch = self.patches.get(known)
        if patch is None:
            newest = self.texts[next(reversed(self.texts))]
            patch = patch_between(self.texts.get(known, ''), newest)
            self.patches[known] = patch
        return patch


def text_digest(text):
    """Return 16 bytes that tell texts apart."""
    encoded = text.encode()
    return hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES).digest()


def patch_between(old, new):
    """Return the patch from one text to another.

    Examples
    ========

    >>> from pollenstile.peer import patch_between, patched
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
    suffix = _common_end(before[prefix:], after[prefix:])
    edits = _edits_between(
        before[prefix : len(before) - suffix],
        after[prefix : len(after) - suffix],
    )
    packed = zlib.compress(msgspec.msgpack.encode(edits))
    return Patch(prefix, suffix, packed, text_digest(new))


def _common_length(one, other):
    """Return how many first bytes are the same."""
    return _most(
        min(len(one), len(other)),
        lambda size: one[:size] == other[:size],
    )


def _common_end(one, other):
    """Return how many last bytes are the same."""
    return _most(
        min(len(one), len(other)),
        lambda size: one[len(one) - size :] == other[len(other) - size :],
    )


def _most(limit, holds):
    """Return the largest size for which something holds, by bisection."""
    low = 0
    high = limit
    while low < high:
        middle = (low + high + 1) // 2
        if holds(middle):
            low = middle
        else:
            high = middle - 1
    return low


def _edits_between(old, new):
    """Return edits that keep the rows which both have.

    Explanation
    ===========

    A row that the old text has is kept with all that follows it there; so a
    change of a row in 1,750 takes three steps, not 1,750.
    """
    places = _row_places(old)
    edits = []
    place = 0
    while place < len(new):
        row = new[place : _row_end(new, place)]
        start = places.get(row)
        if start is None:
            edits.append(Added(row))
            place += len(row)
            continue
        length = _common_length(old[start:], new[place:])
        edits.append(Kept(start, length))
        place += length
    return edits


def _row_places(text):
    """Return where each row begins, by its bytes."""
    places = {}
    place = 0
    while place < len(text):
        end = _row_end(text, place)
        places.setdefault(text[place:end], place)
        place = end
    return places


def _row_end(text, place):
    end = text.find(_ROW_END, place)
    return len(text) if end < 0 else end + len(_ROW_END)


def apply_patch(old, patch):
    """Return the new text, or None when the patch does not fit the old one."""
    before = old.encode()
    if patch.prefix + patch.suffix > len(before):
        return None
    end = len(before) - patch.suffix
    middle = _edited(before[patch.prefix : end], _unpacked(patch.middle))
    if middle is None:
        return None
    try:
        text = (before[: patch.prefix] + middle + before[end:]).decode()
    except UnicodeDecodeError:
        return None
    return text if text_digest(text) == patch.digest else None


def _edited(old, packed):
    """Return the bytes that edits make; None when they don't fit."""
    try:
        edits = _edits.decode(packed)
    except msgspec.DecodeError:
        return None
    parts = []
    size = 0
    for edit in edits:
        part = edit.content if isinstance(edit, Added) else _kept(old, edit)
        size += len(part)
        if size > MOST_TEXT:
            return None
        parts.append(part)
    return b''.join(parts)


def _kept(old, edit):
    if edit.start < 0 or edit.length < 0:
        return b''
    return old[edit.start : edit.start + edit.length]


def _unpacked(packed):
    """Return what was compressed; nothing when it is not, or too much."""
    unpacker = zlib.decompressobj()
    try:
        unpacked = unpacker.decompress(packed, 2 * MOST_TEXT)
    except zlib.error:
        return b''
    return unpacked if unpacker.eof else b''
