"""Which upstreams get new work."""

from dataclasses import replace

from pollenstile.fleet import events
from pollenstile.fleet._record import (
    UPSTREAM,
    Record,
    with_witness,
    with_witnesses_only,
)

_MOST_DOWN = 0.5
_BAR_SECONDS = 3.0


def is_leaving(record, bound):
    """Return whether an upstream gets no new work because it leaves.

    Parameters
    ==========

    record : Record
        What is known of it.
    bound : dict
        Incarnation that the host list's incarnation belongs to, by that.

    Explanation
    ===========

    The host list lags: what it says of the process before must not stop the
    one that has taken its address. The list's incarnation is bound to the one
    that was seen when the list first showed it as live; when it was never
    seen live, the list is believed until it shows a newer one.

    Examples
    ========

    >>> from pollenstile.fleet import UPSTREAM, Record, is_leaving
    >>> record = Record(
    ...     UPSTREAM, 'e1', incarnation='b', listed=4, listed_leaving=True,
    ... )
    >>> is_leaving(record, {4: 'b'}), is_leaving(record, {4: 'a'})
    (True, False)
    """
    if record.leaving:
        return True
    if not record.listed_leaving:
        return False
    return bound.get(record.listed, record.incarnation) == record.incarnation


class Upstreams:
    """State of all upstreams of the configuration in force.

    Parameters
    ==========

    table : Table
        The records.
    hosts : Hosts
        Live entry hosts.
    tracker : Tracker
        What routing reads; told of leaving and failed upstreams.
    clock : IReactorTime
        Gives the time.
    log : function
        Writes events.

    Attributes
    ==========

    declared : dict
        Pool and declaration of each upstream in force, by name.
    adopted : dict
        When the incarnation of each was last seen to change, in seconds.
    bound : dict
        For each, the incarnation that the host list's belongs to.
    suspects : set of str
        Upstreams that some host can't reach.
    down : set of str
        Upstreams that enough hosts can't reach, and are barred.
    """

    __slots__ = (
        'adopted',
        'believed',
        'bound',
        'clock',
        'declared',
        'down',
        'hosts',
        'log',
        'suspects',
        'table',
        'tracker',
    )

    def __init__(self, table, hosts, tracker, clock, log):
        self.table = table
        self.hosts = hosts
        self.tracker = tracker
        self.clock = clock
        self.log = log
        self.declared = {}
        self.adopted = {}
        self.bound = {}
        self.down = set()
        self.suspects = set()
        self.believed = True
        tracker.observer = self.answered
        table.listeners.append(self._changed)

    def configured(self, snapshot):
        """Take the upstreams of a configuration."""
        declared = {}
        for pool_name, pool in snapshot.manifest.pools.items():
            for name, upstream in pool.upstreams.items():
                declared[name] = (pool_name, upstream)
        for name in self.declared.keys() - declared.keys():
            self.table.remove(UPSTREAM, name)
            self.adopted.pop(name, None)
            self.suspects.discard(name)
            self.bound.pop(name, None)
        self.declared = declared

    def admits(self, record):
        """Return whether a peer's record of an unknown upstream is taken."""
        return record.name in self.declared

    def is_leaving(self, name):
        """Return whether an upstream gets no new work."""
        record = self.table.record(UPSTREAM, name)
        return is_leaving(record, self.bound.get(name, {}))

    def answered(self, name, load):
        """Take the load that came with a call's answer.

        Explanation
        ===========

        An answer may be of a call sent long ago, to a process that has been
        replaced since. It shows that its own incarnation is leaving, never
        that this is the newest one.

        Returns
        =======

        bool
            Whether the upstream gets no new work.
        """
        record = self.table.record(UPSTREAM, name)
        if load.leaving and name in self.declared:
            if record.incarnation == load.incarnation:
                self.table.offer(replace(record, leaving=True))
            elif not record.order:
                self._adopt(record, load)
        return self.is_leaving(name)

    def polled(self, name, load, sent_at):
        """Take the load that an upstream stated when it was asked for it.

        Parameters
        ==========

        name : str
            The upstream.
        load : Load
            What it said.
        sent_at : float
            When it was asked, in seconds.
        """
        record = self.table.record(UPSTREAM, name)
        if record.incarnation != load.incarnation or not record.order:
            # What was asked before the newest incarnation was seen may have
            # been answered by the one before it.
            if record.order and sent_at < self.adopted.get(name, 0):
                return
            self._adopt(record, load)
        elif load.leaving:
            self.table.offer(replace(record, leaving=True))

    def reached(self, name, watchers):
        """Note that the own host reaches an upstream."""
        record = self.table.record(UPSTREAM, name)
        kept = {one for one in watchers if one != self.hosts.name}
        self.table.offer(with_witnesses_only(record, kept))

    def missed(self, name):
        """Note that the own host does not reach an upstream."""
        record = self.table.record(UPSTREAM, name)
        self.table.offer(with_witness(record, self.hosts.name))

    def listed(self, entry):
        """Take a line of the platform's host list."""
        if entry.name not in self.declared:
            return
        record = self.table.record(UPSTREAM, entry.name)
        self.table.offer(
            replace(
                record,
                listed=entry.incarnation,
                listed_leaving=entry.state == 'leaving',
            ),
        )

    def bar_down(self):
        """Bar the upstreams that several hosts can't reach.

        Explanation
        ===========

        Own calls that succeed lift the bar at once: own evidence goes first.
        Where more than half of a pool seems down, the hosts are more likely
        cut off than all of these broken, and nobody is barred.
        """
        now = self.clock.seconds()
        down = {}
        for name in sorted(self.suspects & self.declared.keys()):
            pool_name, upstream = self.declared[name]
            if self._is_down(name, upstream):
                down.setdefault(pool_name, []).append(name)
        barred = set()
        for pool_name, names in down.items():
            if len(names) <= _MOST_DOWN * self._pool_size(pool_name):
                barred.update(names)
            elif not self.down.issuperset(names):
                self.log(events.DOWN_IGNORED, pool=pool_name, down=len(names))
        self._bar_only(barred, now)

    def document(self):
        """Return what operators ask for: upstreams that get no new work."""
        found = []
        for name in sorted(self.declared):
            record = self.table.record(UPSTREAM, name)
            leaving = self.is_leaving(name)
            if leaving or record.witnesses:
                found.append(
                    {
                        'upstream': name,
                        'incarnation': record.incarnation,
                        'leaving': leaving,
                        'down': name in self.down,
                        'witnesses': list(record.witnesses),
                    },
                )
        return found

    def _bar_only(self, barred, now):
        for name in barred:
            state = self.tracker.state(name)
            state.ejected_until = max(state.ejected_until, now + _BAR_SECONDS)
        for name in sorted(barred - self.down):
            record = self.table.record(UPSTREAM, name)
            self.log(
                events.UPSTREAM_DOWN,
                level='warning',
                upstream=name,
                witnesses=list(record.witnesses),
            )
        for name in sorted(self.down - barred):
            self.tracker.state(name).ejected_until = now
            self.log(events.UPSTREAM_BACK, upstream=name)
        self.down = barred

    def _pool_size(self, pool_name):
        return sum(1 for pool, _ in self.declared.values() if pool == pool_name)

    def _is_down(self, name, upstream):
        witnesses = self.table.record(UPSTREAM, name).witnesses
        if not witnesses:
            return False
        watching = len(self.hosts.near(upstream.domain))
        return len(witnesses) >= min(2, max(watching, 1))

    def _adopt(self, record, load):
        self.adopted[record.name] = self.clock.seconds()
        self.table.offer(
            replace(
                record,
                order=record.order + 1,
                incarnation=load.incarnation,
                leaving=load.leaving,
                views=(),
            ),
        )

    def _changed(self, before, after, source):
        if after.kind != UPSTREAM:
            return
        before = before or Record(UPSTREAM, after.name)
        if after.witnesses:
            self.suspects.add(after.name)
        else:
            self.suspects.discard(after.name)
        self._bind(before, after)
        if (before.order, before.incarnation) != (
            after.order,
            after.incarnation,
        ):
            self.adopted[after.name] = self.clock.seconds()
            self.log(
                events.UPSTREAM_NEW,
                upstream=after.name,
                incarnation=after.incarnation,
            )
        leaving = self.is_leaving(after.name)
        state = self.tracker.state(after.name)
        if leaving and not state.leaving:
            self.log(
                events.UPSTREAM_LEAVING,
                upstream=after.name,
                incarnation=after.incarnation,
            )
        state.leaving = leaving

    def _bind(self, before, after):
        if after.listed == before.listed or after.listed_leaving:
            return
        if not after.incarnation:
            return
        # Only the newest incarnation of the list is ever asked for.
        self.bound[after.name] = {after.listed: after.incarnation}
