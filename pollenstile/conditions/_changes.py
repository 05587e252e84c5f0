"""Changes of the merged estimates that a reader tells other hosts."""

from dataclasses import dataclass

from pollenstile.conditions._estimates import SpeedRow, shrunk_ratio
from pollenstile.ops.bounded import drop_oldest

# Relative change of an estimate from which hosts are told of it.
_MIN_CHANGE = 0.1
# Number of told estimates that each question compares again, in turn, though
# nothing new was measured: they change as measurements lose weight.
_REVIEWED = 16
# Maximum number of estimates that are remembered as told or changed.
_MAX_TOLD = 4096


@dataclass(slots=True, frozen=True)
class Told:
    """A merged estimate as it was told.

    Parameters
    ==========

    number : int
        Number of the change.
    row : SpeedRow
        The estimate.
    """

    number: int
    row: SpeedRow


class SpeedChanges:
    """Numbers the changes of the merged estimates.

    Explanation
    ===========

    Hosts ask for what has changed since a number, so that a reader keeps no
    state for each of them.

    Parameters
    ==========

    estimates : SpeedEstimates
        The estimates of this host.

    Attributes
    ==========

    told : dict
        :class:`Told` by key, the newest change last.
    review_order : dict
        Keys of ``told`` as an ordered set, the longest unreviewed first.
    touched : dict
        Keys whose measurements may have changed since, as an ordered set.
    number : int
        Number of the newest change.
    """

    __slots__ = ('estimates', 'number', 'review_order', 'told', 'touched')

    def __init__(self, estimates):
        self.estimates = estimates
        self.told = {}
        self.review_order = {}
        self.touched = {}
        self.number = 0
        estimates.on_change = self.touch

    def touch(self, key):
        """Record that measurements of an incarnation may have changed."""
        self.touched[key] = True
        drop_oldest(self.touched, _MAX_TOLD)

    def since(self, number, limit):
        """Return the changes since a number, the oldest ones first.

        Parameters
        ==========

        number : int
            Number of the newest change that the asking host knows.
        limit : int
            Maximum number of rows.

        Returns
        =======

        tuple
            Number of the newest change returned, and a list of
            :class:`SpeedRow`.
        """
        self._update()
        newer = []
        for told in reversed(self.told.values()):
            if told.number <= number:
                break
            newer.append(told)
        newer.reverse()
        returned = newer[:limit]
        newest = returned[-1].number if returned else self.number
        return newest, [told.row for told in returned]

    def _update(self):
        """Number the estimates that differ from what was told."""
        for key in list(self.review_order)[:_REVIEWED]:
            self.review_order.pop(key)
            if key in self.told:
                self.review_order[key] = True
                self.touched[key] = True
        keys = list(self.touched)
        self.touched = {}
        for key in keys:
            self._update_key(key)

    def _update_key(self, key):
        row = self.estimates.published_row(key)
        ratio = shrunk_ratio(row)
        told = self.told.get(key)
        known = shrunk_ratio(told.row) if told else 1.0
        if max(ratio, known) <= (1 + _MIN_CHANGE) * min(ratio, known):
            return
        self.told.pop(key, None)
        self.number += 1
        self.told[key] = Told(self.number, row)
        self.review_order[key] = True
        drop_oldest(self.told, _MAX_TOLD)
