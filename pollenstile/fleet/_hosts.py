"""Membership of entry hosts: which of them are live."""

from dataclasses import replace

from pollenstile.fleet import events
from pollenstile.fleet._record import (
    HOST,
    Record,
    with_witness,
    with_witnesses_only,
)

# Seconds after which the record of a host that is gone is removed.
_FORGET_SECONDS = 600.0
# A broken link is dialed again at once; the peer is reported as unreachable
# only if there is no link after this delay, or after this many failed dials.
_WITNESS_DELAY_SECONDS = 2.0
_WITNESS_DIALS = 3


def is_live(record, host, needed):
    """Return whether an entry host counts as live.

    Parameters
    ==========

    record : Record
        Record of the host.
    host : str
        The host that decides; its own observation is sufficient for itself.
    needed : int
        Number of witnesses needed for the other hosts.

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


def _record_from_hello(hello, *, leaving=False):
    """Return the record of the host that sent a hello."""
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
    """Entry hosts known from links, from records of peers, and this host.

    Parameters
    ==========

    hub : Hub
        Links to peers.
    table : Table
        The records.
    log : function
        Writes events.

    Attributes
    ==========

    live : dict
        Records of the live hosts, by name.
    leaving : bool
        Whether this host is leaving.
    gone_since : dict
        Time at which each host was first found gone, by name.
    stale : bool
        Whether a record has changed since ``live`` was computed.
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
        hub.link_up_handlers.append(self._link_opened)
        hub.link_down_handlers.append(self._link_closed)
        table.listeners.append(self._on_record)

    @property
    def name(self):
        """Name of this host."""
        return self.hub.hello.host

    def announce(self):
        """Put the record of this host into the table."""
        self.table.offer(
            _record_from_hello(self.hub.hello, leaving=self.leaving)
        )

    def refresh(self):
        """Recompute the live hosts if any record has changed."""
        if not self.stale:
            return
        self.stale = False
        records = self.table.of_kind(HOST)
        needed = min(2, max(len(records) - 1, 1))
        live = {}
        for record in records:
            if is_live(record, self.name, needed):
                live[record.name] = record
        self._log_changes(live)
        self.live = live

    def witness_unreached(self):
        """Add this host as a witness of wanted hosts that it can't dial."""
        dialer = self.hub.dialer
        for host, address in dialer.wanted.items():
            if dialer.failures(address) >= _WITNESS_DIALS:
                self._witness_unlinked(host)

    def names_in(self, domain):
        """Return the names of the live hosts of a domain."""
        return [
            record.name
            for record in self.live.values()
            if record.domain == domain
        ]

    def responsible_for(self, domain):
        """Return the live hosts that poll a domain's upstreams.

        Explanation
        ===========

        These are the hosts of the domain. When it has none, its upstreams can
        still be called from other domains, so all hosts are responsible.
        """
        return self.names_in(domain) or list(self.live)

    def absent(self):
        """Return records of known hosts that are neither live nor leaving."""
        records = []
        for record in self.table.of_kind(HOST):
            if record.name not in self.live and not record.leaving:
                records.append(record)
        return records

    def remove_gone(self, now):
        """Remove the records of hosts that have been gone for ten minutes."""
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
        """Return whether a peer's record of an unknown host is accepted.

        Explanation
        ===========

        Hosts remove the record of a host that is gone at different times. A
        host that has removed it must not accept it again from one that still
        has it.
        """
        return not record.leaving and len(record.witnesses) < 2

    def _log_changes(self, live):
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

    def _on_record(self, before, after, source):
        if after.kind != HOST:
            return
        self.stale = True
        if after.name == self.name:
            self._refute(after)

    def _refute(self, record):
        # Corrects a record that reports this live host as gone, or that belongs
        # to an earlier process whose clock was ahead of this one's.
        hello = self.hub.hello
        if record.order > hello.boot:
            self.hub.hello = replace(hello, boot=record.order + 1)
            self.announce()
        elif record.witnesses:
            self.table.offer(with_witnesses_only(record, ()))

    def _link_opened(self, link):
        peer = link.session.peer
        self.table.offer(_record_from_hello(peer))
        record = self.table.record(HOST, peer.host)
        kept = set(record.witnesses) - {self.name}
        self.table.offer(with_witnesses_only(record, kept))

    def _link_closed(self, host, link):
        if not self.hub.stopped:
            self.hub.clock.callLater(
                _WITNESS_DELAY_SECONDS, self._witness_unlinked, host
            )

    def _witness_unlinked(self, host):
        if self.hub.stopped or host in self.hub.links:
            return
        known = (HOST, host) in self.table.records
        if host in self.hub.dialer.wanted and known:
            record = self.table.record(HOST, host)
            self.table.offer(with_witness(record, self.name))
