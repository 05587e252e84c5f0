"""Which entry hosts are live."""

from dataclasses import replace

from pollenstile.fleet import events
from pollenstile.fleet._record import (
    HOST,
    Record,
    with_witness,
    with_witnesses_only,
)

_FORGET_SECONDS = 600.0
# A link that breaks is dialed again at once; only if that fails too is the
# peer thought to be gone.
_DOUBT_SECONDS = 2.0
_DOUBT_DIALS = 3


def is_live(record, host, needed):
    """Return whether an entry host counts as live.

    Parameters
    ==========

    record : Record
        Of the host in question.
    host : str
        Who asks; its own observation is enough for itself.
    needed : int
        Witnesses that make others believe a failure.

    Examples
    ========

    >>> from pollenstile.fleet import HOST, Record, is_live
    >>> record = Record(HOST, 'a', views=(('b', 1),))
    >>> is_live(record, 'c', 2), is_live(record, 'b', 2)
    (True, False)
    """
    if record.leaving or host in record.witnesses:
        return False
    return len(record.witnesses) < needed


def _record_of(hello, *, leaving=False):
    """Return the record of a host that says who it is."""
    return Record(
        HOST,
        hello.host,
        order=hello.boot,
        incarnation=f'{hello.boot:x}',
        leaving=leaving,
        domain=hello.domain,
        address=hello.address,
    )


class Hosts:
    """The entry hosts, from links, peers' news and the own start.

    Parameters
    ==========

    hub : Hub
        Links to peers.
    table : Table
        The records.
    log : function
        Writes events.
    """

    __slots__ = (
        'gone_since',
        'hub',
        'leaving',
        'live',
        'log',
        'stale',
        'table',
    )

    def __init__(self, hub, table, log):
        self.hub = hub
        self.table = table
        self.log = log
        self.live = {}
        self.leaving = False
        self.gone_since = {}
        self.stale = True
        hub.link_up_handlers.append(self._met)
        hub.link_down_handlers.append(self._lost)
        table.listeners.append(self._changed)

    @property
    def name(self):
        """The own name."""
        return self.hub.hello.host

    def announce(self):
        """Put the own record into the table."""
        self.table.offer(_record_of(self.hub.hello, leaving=self.leaving))

    def refresh(self):
        """Work out who is live again, if anything has changed."""
        if not self.stale:
            return
        self.stale = False
        records = self.table.of_kind(HOST)
        needed = min(2, max(len(records) - 1, 1))
        live = {}
        for record in records:
            if is_live(record, self.name, needed):
                live[record.name] = record
        self._tell(live)
        self.live = live

    def doubt_unreached(self):
        """Witness against hosts that are wanted but were never reached."""
        dialer = self.hub.dialer
        for host, address in dialer.wanted.items():
            if dialer.failures(address) >= _DOUBT_DIALS:
                self._doubt(host)

    def names_in(self, domain):
        """Return the names of the live hosts of a domain."""
        return [one.name for one in self.live.values() if one.domain == domain]

    def near(self, domain):
        """Return the live hosts that look after a domain's upstreams.

        Explanation
        ===========

        Those of the domain. When it has none, upstreams there can still be
        called from others, so all hosts look after them.
        """
        return self.names_in(domain) or list(self.live)

    def absent(self):
        """Return records of hosts that were known but are not live."""
        found = []
        for record in self.table.of_kind(HOST):
            if record.name not in self.live and not record.leaving:
                found.append(record)
        return found

    def forget_gone(self, now):
        """Forget hosts that have been gone for long."""
        for record in self.table.of_kind(HOST):
            if record.name in self.live or record.name == self.name:
                self.gone_since.pop(record.name, None)
                continue
            since = self.gone_since.setdefault(record.name, now)
            if now - since > _FORGET_SECONDS:
                self.gone_since.pop(record.name)
                self.table.remove(HOST, record.name)
                self.stale = True

    def admits(self, record):
        """Return whether a peer's record of an unknown host is taken.

        Explanation
        ===========

        Hosts forget one that is gone at different times; who has forgotten
        it must not learn it again from who has not.
        """
        return not record.leaving and len(record.witnesses) < 2

    def _tell(self, live):
        for name in sorted(self.live.keys() - live.keys()):
            record = self.table.record(HOST, name)
            self.log(
                events.HOST_DOWN,
                level='warning',
                peer=name,
                leaving=record.leaving,
                witnesses=list(record.witnesses),
            )
        for name in sorted(live.keys() - self.live.keys()):
            self.log(events.HOST_BACK, peer=name, domain=live[name].domain)

    def _changed(self, before, after, source):
        if after.kind != HOST:
            return
        self.stale = True
        if after.name == self.name:
            self._refute(after)

    def _refute(self, record):
        # A host whose record says that it is gone, or that belongs to an
        # earlier process with a clock ahead of this one's, knows better.
        hello = self.hub.hello
        if record.order > hello.boot:
            self.hub.hello = replace(hello, boot=record.order + 1)
            self.announce()
        elif record.witnesses:
            self.table.offer(with_witnesses_only(record, ()))

    def _met(self, link):
        peer = link.session.peer
        self.table.offer(_record_of(peer))
        record = self.table.record(HOST, peer.host)
        kept = set(record.witnesses) - {self.name}
        self.table.offer(with_witnesses_only(record, kept))

    def _lost(self, host, link):
        if not self.hub.stopped:
            self.hub.clock.callLater(_DOUBT_SECONDS, self._doubt, host)

    def _doubt(self, host):
        if self.hub.stopped or host in self.hub.links:
            return
        known = (HOST, host) in self.table.records
        if host in self.hub.dialer.wanted and known:
            record = self.table.record(HOST, host)
            self.table.offer(with_witness(record, self.name))
