"""Conclusion on the version of a stream that no asked host knows."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Witness:
    """What one host can say of the versions of a service.

    Parameters
    ==========

    versions : frozenset of str
        Versions that it has seen lately.
    is_fresh : bool
        Whether it is in contact with the store.
    is_complete : bool
        Whether, until its last contact with the store, it can't have missed a
        version.
    """

    versions: frozenset
    is_fresh: bool
    is_complete: bool


def concluded_version(witnesses, *, is_everyone_heard):
    """Return the only version that can have begun a stream, or None.

    Explanation
    ===========

    No host can have begun a stream at a version that it did not read from the
    store. A witness in contact with the store would have seen it too. If no
    witness is in contact, the store is most likely away for all hosts; but a
    host that was not heard may still reach it. Hosts that have all just started
    can't know what served before.

    Parameters
    ==========

    witnesses : list of Witness
        This host first, and the peers that answered.
    is_everyone_heard : bool
        Whether a complete witness of each failure domain is among them.

    Examples
    ========

    >>> from pollenstile.origins import Witness, concluded_version
    >>> cut_off = Witness(frozenset(('v1',)), False, True)
    >>> concluded_version([cut_off], is_everyone_heard=False) is None
    True
    >>> in_contact = Witness(frozenset(('v1',)), True, True)
    >>> concluded_version([cut_off, in_contact], is_everyone_heard=False)
    'v1'
    >>> started = Witness(frozenset(('v1',)), True, False)
    >>> concluded_version([started], is_everyone_heard=True) is None
    True
    >>> newer = Witness(frozenset(('v1', 'v2')), True, True)
    >>> concluded_version([in_contact, newer], is_everyone_heard=True) is None
    True
    """
    versions = frozenset().union(*(witness.versions for witness in witnesses))
    if len(versions) != 1:
        return None
    complete = [witness for witness in witnesses if witness.is_complete]
    is_sure = any(witness.is_fresh for witness in complete)
    if is_sure or complete and is_everyone_heard:
        return next(iter(versions))
    return None
