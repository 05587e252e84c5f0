"""Conclusion on the version of a stream that no asked host knows."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Witness:
    """What one host can say of the versions of a service.

    Parameters
    ==========

    versions : frozenset of str
        Versions that it has seen lately.
    is_current : bool
        Whether it has read the versions that are registered since it was asked.
    is_complete : bool
        Whether it can't have missed a version that was there earlier.
    is_unproven : bool
        Whether the store may answer it, although no read has shown it in time.
    """

    versions: frozenset
    is_current: bool
    is_complete: bool
    is_unproven: bool = False


def concluded_version(witnesses, *, is_everyone_heard):
    """Return the only version that can have begun a stream, or None.

    Explanation
    ===========

    No host can have begun a stream at a version that it did not read from the
    store. A witness that has read the store since the stream was taken up has
    seen it too; one that is merely in contact may get the changes late. If no
    witness can read the store, it is most likely away for all hosts; but a host
    that was not heard may still reach it, and so may one whose read was merely
    late. Hosts that have all just started can't know what served before.

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
    >>> current = Witness(frozenset(('v1',)), True, True)
    >>> concluded_version([cut_off, current], is_everyone_heard=False)
    'v1'
    >>> slow = Witness(frozenset(('v1',)), False, True, is_unproven=True)
    >>> concluded_version([cut_off, slow], is_everyone_heard=True) is None
    True
    >>> started = Witness(frozenset(('v1',)), True, False)
    >>> concluded_version([started], is_everyone_heard=True) is None
    True
    >>> newer = Witness(frozenset(('v1', 'v2')), True, True)
    >>> concluded_version([current, newer], is_everyone_heard=True) is None
    True
    """
    versions = frozenset().union(*(witness.versions for witness in witnesses))
    if len(versions) != 1:
        return None
    complete = [witness for witness in witnesses if witness.is_complete]
    is_sure = any(witness.is_current for witness in complete)
    is_away = not any(witness.is_unproven for witness in witnesses)
    if is_sure or complete and is_everyone_heard and is_away:
        return next(iter(versions))
    return None
