"""Keyed digests that identify requests without revealing their content."""

import hashlib

# Fingerprints identify requests in log lines, on the wire and in the store.
# They are long enough that no two requests of a fleet collide by chance.
_DIGEST_BYTES = 12
_LENGTH_BYTES = 8
# Tells fingerprints of prompt parts from those of requests.
_PART_LABEL = b'prompt part'


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


def part_fingerprints(key, prompt):
    """Return the fingerprints of the prompt parts that requests may share.

    Explanation
    ===========

    The identifier of a part stands for its content, so a part is known
    whichever team, route or model it comes with. The last part belongs to one
    request, which has a fingerprint of its own.

    Parameters
    ==========

    key : bytes
        Secret shared by the fleet's hosts; empty while it is unknown.
    prompt : tuple
        Identifier and token count of each part, in order.

    Returns
    =======

    tuple of str
        Empty without a key.

    Examples
    ========

    >>> from pollenstile.quarantine import part_fingerprints
    >>> len(part_fingerprints(b'key', (('head', 500), ('own', 60))))
    1
    >>> part_fingerprints(b'', (('head', 500), ('own', 60)))
    ()
    """
    if not key:
        return ()
    return tuple(
        fingerprint(key, _PART_LABEL, ident.encode())
        for ident, _ in prompt[:-1]
    )
