"""Keys of streams."""

import hashlib

_KEY_BYTES = 8
_DRAW_BITS = 53


def origin_key(team, service, request):
    """Return the key of a stream.

    Explanation
    ===========

    With the team, no caller can name a stream of another team. With the
    service, a stream that goes on at another service is another stream: only
    versions of one service are compared.

    Parameters
    ==========

    team, service : str
        The caller, and the service that runs the stream.
    request : str
        Identifier of the request that brought the first event.

    Returns
    =======

    bytes

    Examples
    ========

    >>> from pollenstile.origins import origin_key
    >>> first = origin_key('t', 's', 'a1')
    >>> len(first), first == origin_key('other', 's', 'a1')
    (8, False)
    """
    text = chr(0).join((team, service, request)).encode()
    return hashlib.blake2b(text, digest_size=_KEY_BYTES).digest()
