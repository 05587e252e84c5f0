"""Delta encoding of a text for a peer that has another version of it.

Explanation
===========

A configuration change affects a few parts of a long text: its version, a
route, a key. The common prefix and suffix of both texts are not sent, and
between them rows that the peer has are referenced by offset. The digest of the
new text verifies the result; if it does not match, the full text is sent.
"""

import hashlib
import zlib
from collections import OrderedDict
from dataclasses import dataclass

import msgspec

from pollenstile.ops.bounded import drop_oldest

_DIGEST_BYTES = 16
# Number of recent texts from which a host can send patches.
_MAX_TEXTS = 6
# The store holds values of up to a megabyte, so a text that decompresses to
# more can't be one of them.
MAX_TEXT_BYTES = 1000000
# Separator of rows in a JSON list of objects.
_ROW_END = b'},'


class CopyRange(msgspec.Struct, array_like=True, tag=0):
    """Copies a range of bytes of the old text."""

    start: int
    length: int


class InsertBytes(msgspec.Struct, array_like=True, tag=1):
    """Inserts bytes that the old text does not have."""

    content: bytes


_edits = msgspec.msgpack.Decoder(list[CopyRange | InsertBytes])


@dataclass(slots=True, frozen=True)
class Patch:
    """A delta that turns one text into another.

    Parameters
    ==========

    prefix, suffix : int
        Numbers of bytes kept from the start and the end of the old text.
    middle : bytes
        Compressed edits that build the bytes between prefix and suffix from
        those of the old text.
    digest : bytes
        Digest of the new text.
    """

    prefix: int
    suffix: int
    middle: bytes
    digest: bytes


def patch_fields(patch):
    """Return the message fields that carry a patch."""
    return {
        'prefix': patch.prefix,
        'suffix': patch.suffix,
        'middle': patch.middle,
        'digest': patch.digest,
    }


def patch_from(reader):
    """Return the patch carried by a message."""
    return Patch(
        reader.prefix,
        reader.suffix,
        bytes(reader.middle),
        bytes(reader.digest),
    )


class RecentTexts:
    """Keeps the recent texts of a host and caches patches to the newest.

    Explanation
    ===========

    Several peers request a patch from the same text at the same time, so each
    patch is built once. Several texts are kept so that a peer that missed some
    of them during a burst of changes can still be updated by a patch.

    Attributes
    ==========

    texts : OrderedDict
        Texts by the name that peers use for them, newest last.
    patches : dict
        Patches to the newest text, by the name of the text that they apply
        to; None for the empty text.
    """

    __slots__ = ('patches', 'texts')

    def __init__(self):
        self.texts = OrderedDict()
        self.patches = {}

    def keep(self, name, text):
        """Add a text as the newest one."""
        self.patches.clear()
        self.texts[name] = text
        self.texts.move_to_end(name)
        drop_oldest(self.texts, _MAX_TEXTS)

    def patch_from(self, name):
        """Return the patch to the newest text from a named or empty text."""
        known = name if name in self.texts else None
        patch = self.patches.get(known)
        if patch is None:
            newest = self.texts[next(reversed(self.texts))]
            patch = patch_between(self.texts.get(known, ''), newest)
            self.patches[known] = patch
        return patch


def text_digest(text):
    """Return the digest of a text, 16 bytes long."""
    encoded = text.encode()
    return hashlib.blake2b(encoded, digest_size=_DIGEST_BYTES).digest()


def patch_between(old, new):
    """Return the patch that turns one text into another.

    Examples
    ========

    >>> from pollenstile.peer import patch_between, apply_patch
    >>> patch = patch_between('weight: 1.0 end', 'weight: 2.5 end')
    >>> patch.prefix, patch.suffix
    (8, 4)
    >>> apply_patch('weight: 1.0 end', patch)
    'weight: 2.5 end'
    >>> apply_patch('height: 1.0 end', patch) is None
    True
    """
    before = old.encode()
    after = new.encode()
    prefix = _common_prefix_length(before, after)
    suffix = _common_suffix_length(before[prefix:], after[prefix:])
    edits = _edits_between(
        before[prefix : len(before) - suffix],
        after[prefix : len(after) - suffix],
    )
    packed = zlib.compress(msgspec.msgpack.encode(edits))
    return Patch(prefix, suffix, packed, text_digest(new))


def _common_prefix_length(one, other):
    """Return the length of the common prefix."""
    return _largest_size(
        min(len(one), len(other)),
        lambda size: one[:size] == other[:size],
    )


def _common_suffix_length(one, other):
    """Return the length of the common suffix."""
    return _largest_size(
        min(len(one), len(other)),
        lambda size: one[len(one) - size :] == other[len(other) - size :],
    )


def _largest_size(limit, is_common):
    """Return the largest size that meets a condition, by bisection."""
    low = 0
    high = limit
    while low < high:
        middle = (low + high + 1) // 2
        if is_common(middle):
            low = middle
        else:
            high = middle - 1
    return low


def _edits_between(old, new):
    """Return edits that copy the rows which both texts have.

    Explanation
    ===========

    A row found in the old text is copied together with all equal bytes that
    follow it there, so a change of one row among 1,750 takes three edits
    instead of 1,750.
    """
    offsets = _row_offsets(old)
    edits = []
    offset = 0
    while offset < len(new):
        row = new[offset : _row_end(new, offset)]
        start = offsets.get(row)
        if start is None:
            edits.append(InsertBytes(row))
            offset += len(row)
            continue
        length = _common_prefix_length(old[start:], new[offset:])
        edits.append(CopyRange(start, length))
        offset += length
    return edits


def _row_offsets(text):
    """Return the offset of the first occurrence of each row, by its bytes."""
    offsets = {}
    offset = 0
    while offset < len(text):
        end = _row_end(text, offset)
        offsets.setdefault(text[offset:end], offset)
        offset = end
    return offsets


def _row_end(text, offset):
    end = text.find(_ROW_END, offset)
    return len(text) if end < 0 else end + len(_ROW_END)


def apply_patch(old, patch):
    """Return the patched text, or None if the patch is for another text."""
    before = old.encode()
    if patch.prefix + patch.suffix > len(before):
        return None
    end = len(before) - patch.suffix
    middle = _apply_edits(before[patch.prefix : end], _decompress(patch.middle))
    if middle is None:
        return None
    try:
        text = (before[: patch.prefix] + middle + before[end:]).decode()
    except UnicodeDecodeError:
        return None
    return text if text_digest(text) == patch.digest else None


def _apply_edits(old, packed):
    """Return the bytes built by edits; None if invalid or too large."""
    try:
        edits = _edits.decode(packed)
    except msgspec.DecodeError:
        return None
    parts = []
    size = 0
    for edit in edits:
        part = (
            edit.content
            if isinstance(edit, InsertBytes)
            else _copied_bytes(old, edit)
        )
        size += len(part)
        if size > MAX_TEXT_BYTES:
            return None
        parts.append(part)
    return b''.join(parts)


def _copied_bytes(old, edit):
    if edit.start < 0 or edit.length < 0:
        return b''
    return old[edit.start : edit.start + edit.length]


def _decompress(packed):
    """Return decompressed bytes; empty if invalid or too large."""
    unpacker = zlib.decompressobj()
    try:
        unpacked = unpacker.decompress(packed, 2 * MAX_TEXT_BYTES)
    except zlib.error:
        return b''
    return unpacked if unpacker.eof else b''
