"""Keyed digests that identify requests without revealing their content."""

import hashlib

# Fingerprints identify requests in log lines, on the wire and in the store.
# They are long enough that no two requests of a fleet collide by chance.
_DIGEST_BYTES = 12
_LENGTH_BYTES = 8


def fingerprint(key, *parts):
    """Return a keyed digest of a request's content, as text.

    Explanation
    ===========

    Without the key, a guess of the content can't be verified against its
    fingerprint. The length of each part is hashed as well, so that moving
    bytes from one part to the next changes the digest.

    Parameters
    ==========

    key : bytes
        Secret shared by the fleet's hosts; empty while it is unknown.
    parts : tuple of bytes
        The parts of a request that identify it.

    Returns
    =======

    str
        Hexadecimal digest; empty without a key.

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
        key=key[: hashlib.blake2b.MAX_KEY_SIZE], digest_size=_DIGEST_BYTES
    )
    for part in parts:
        digest.update(len(part).to_bytes(_LENGTH_BYTES))
        digest.update(part)
    return digest.hexdigest()
