"""Membership of upstreams: which of them get new work."""

from dataclasses import replace

from pollenstile.fleet import events
from pollenstile.fleet._record import (
    UPSTREAM,
    Record,
    with_witness,
    with_witnesses_only,
)

# Share of a pool above which reports that its upstreams are down are ignored.
_MAX_DOWN_SHARE = 0.5
# Seconds for which a bar lasts; it is renewed while the upstream is down.
_BAR_SECONDS = 3.0


def is_leaving(record, bound):
    """Return whether an upstream gets no new work because it is leaving.

    Explanation
    ===========

    The host list lags: the state that it shows for a previous process must not
    stop the process that reuses the address. The incarnation in the list is
    bound to the incarnation of the process that was known when the list first
    showed its own as live. If the list never showed it as live, the listed
    state applies until the list shows a newer incarnation.

    Parameters
    ==========

    record : Record
        Record of the upstream.
    bound : dict
        Incarnation of the process, by the incarnation in the host list.

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
        State of upstreams for routing; leaving and failed ones are marked in
        it.
    clock : IReactorTime
        Source of the current time.
    log : function
        Writes events.

    Attributes
    ==========

    declared : dict
        Pool and declaration of each upstream in force, by name.
    adopted_at : dict
        Time in seconds at which the incarnation of each last changed, by name.
    bound : dict
        Incarnation of the process by the incarnation in the host list, for
        each upstream.
    suspects : set of str
        Upstreams that at least one host can't reach.
    down : set of str
        Upstreams that enough hosts can't reach and that are barred.
    """

    __slots__ = (
        'adopted_at',
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
        self.adopted_at = {}
        self.bound = {}
        self.down = set()
        self.suspects = set()
        self.believed = True
        tracker.observer = self.record_answer
        table.listeners.append(self._on_record)

    def apply_snapshot(self, snapshot):
        """Apply the upstreams of a configuration."""
        declared = {}
        for pool_name, pool in snapshot.manifest.pools.items():
            for name, upstream in pool.upstreams.items():
                declared[name] = (pool_name, upstream)
        for name in self.declared.keys() - declared.keys():
            self.table.remove(UPSTREAM, name)
            self.adopted_at.pop(name, None)
            self.suspects.discard(name)
            self.bound.pop(name, None)
        self.declared = declared

    def admits(self, record):
        """Return whether a peer's record of an unknown upstream is accepted."""
        return record.name in self.declared

    def is_leaving(self, name):
        """Return whether an upstream gets no new work."""
        record = self.table.record(UPSTREAM, name)
        return is_leaving(record, self.bound.get(name, {}))

    def record_answer(self, name, load):
        """Record the load that was sent with the answer to a call.

        Explanation
        ===========

        The call may have been sent long ago, to a process that has been
        replaced since. The answer can show that its incarnation is leaving, but
        not that it is the newest one.

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
                self._set_incarnation(record, load)
        return self.is_leaving(name)

    def record_poll(self, name, load, sent_at):
        """Record the load that an upstream returned to a poll.

        Parameters
        ==========

        name : str
            Name of the upstream.
        load : Load
            The returned load.
        sent_at : float
            Time in seconds at which the poll was sent.
        """
        record = self.table.record(UPSTREAM, name)
        if record.incarnation != load.incarnation or not record.order:
            # A poll sent before the newest incarnation was seen may have been
            # answered by the previous one.
            if record.order and sent_at < self.adopted_at.get(name, 0):
                return
            self._set_incarnation(record, load)
        elif load.leaving:
            self.table.offer(replace(record, leaving=True))

    def record_reached(self, name, watchers):
        """Record that this host reaches an upstream."""
        record = self.table.record(UPSTREAM, name)
        kept = {host for host in watchers if host != self.hosts.name}
        self.table.offer(with_witnesses_only(record, kept))

    def record_missed(self, name):
        """Record that this host does not reach an upstream."""
        record = self.table.record(UPSTREAM, name)
        self.table.offer(with_witness(record, self.hosts.name))

    def record_listed(self, entry):
        """Record an entry of the platform's host list."""
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

    def eject_unreachable(self):
        """Bar the upstreams that several hosts can't reach.

        Explanation
        ===========

        A successful call of this host lifts the bar at once: its own
        observations take precedence. Where more than half of a pool seems down,
        it is more likely that the hosts are cut off than that all these
        upstreams failed, and none of them is barred.
        """
        now = self.clock.seconds()
        down = {}
        for name in sorted(self.suspects & self.declared.keys()):
            pool_name, upstream = self.declared[name]
            if self._is_down(name, upstream):
                down.setdefault(pool_name, []).append(name)
        barred = set()
        for pool_name, names in down.items():
            if len(names) <= _MAX_DOWN_SHARE * self._pool_size(pool_name):
                barred.update(names)
            elif not self.down.issuperset(names):
                self.log(events.DOWN_IGNORED, pool=pool_name, down=len(names))
        self._bar_only(barred, now)

    def document(self):
        """Return the status of upstreams that are leaving or unreachable."""
        rows = []
        for name in sorted(self.declared):
            record = self.table.record(UPSTREAM, name)
            leaving = self.is_leaving(name)
            if leaving or record.witnesses:
                rows.append(
                    {
                        'upstream': name,
                        'incarnation': record.incarnation,
                        'leaving': leaving,
                        'down': name in self.down,
                        'witnesses': list(record.witnesses),
                    },
                )
        return rows

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
        watching = len(self.hosts.responsible_for(upstream.domain))
        return len(witnesses) >= min(2, max(watching, 1))

    def _set_incarnation(self, record, load):
        self.adopted_at[record.name] = self.clock.seconds()
        self.table.offer(
            replace(
                record,
                order=record.order + 1,
                incarnation=load.incarnation,
                leaving=load.leaving,
                views=(),
            ),
        )

    def _on_record(self, before, after, source):
        if after.kind != UPSTREAM:
            return
        before = before or Record(UPSTREAM, after.name)
        if after.witnesses:
            self.suspects.add(after.name)
        else:
            self.suspects.discard(after.name)
        self._bind_listed(before, after)
        if (before.order, before.incarnation) != (
            after.order,
            after.incarnation,
        ):
            self.adopted_at[after.name] = self.clock.seconds()
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

    def _bind_listed(self, before, after):
        if after.listed == before.listed or after.listed_leaving:
            return
        if not after.incarnation:
            return
        # Only the newest incarnation of the list is ever looked up.
        self.bound[after.name] = {after.listed: after.incarnation}
