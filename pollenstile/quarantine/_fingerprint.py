"""What identifies a request's content, and tells nobody what it is."""

import hashlib

# A fingerprint names a request in log lines, on the wire and in the store: long
# enough that no two requests of a fleet share one by chance.
_BYTES = 12
_LENGTH_BYTES = 8


def fingerprint(key, *parts):
    """Return a keyed digest of a request's content, as text.

    Explanation
    ===========

    Without the key nobody can tell from a fingerprint whether a guess of the
    content is right. Each part goes in with its length, so that no bytes can
    move from one part to the next.

    Parameters
    ==========

    key : bytes
        Secret of the fleet's hosts; empty while it isn't known.
    parts : tuple of bytes
        What makes two requests the same.

    Returns
    =======

    str
        Hexadecimal; empty without a key.

    Examples
    ========

    >>> from pollenstile.quarantine import fingerprint
    >>> len(fingerprint(b'key', b'POST', b'/a'))
    24
    >>> fingerprint(b'key', b'ab', b'c') == fingerprint(b'key', b'a', b'bc')
    False
    >>> fingerprint(b'', b'POST')
    ''
    """
    if not key:
        return ''
    digest = hashlib.blake2b(
        key=key[: hashlib.blake2b.MAX_KEY_SIZE], digest_size=_BYTES
    )
    for part in parts:
        digest.update(len(part).to_bytes(_LENGTH_BYTES))
        digest.update(part)
    return digest.hexdigest()
