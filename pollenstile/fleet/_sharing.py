"""Membership records, from peer to peer."""

from pollenstile.fleet._record import HOST, UPSTREAM, Record
from pollenstile.fleet._table import BUCKETS
from pollenstile.peer import News, Sums

# News of one instant go in one message.
_GATHER_SECONDS = 0.02
# After a message was lost, tables differ until sums are compared; a host
# compares with one peer this often at most.
_COMPARE_SECONDS = 2.0
_QUIET_SECONDS = 0.5
_PAGE = 200
_KINDS = frozenset((HOST, UPSTREAM))
_FIELDS = tuple(Record.__slots__)
_WIRE = {'listed_leaving': 'listedLeaving'}


def wire_record(record):
    """Return a record's fields by their names in the schema."""
    fields = {}
    for name in _FIELDS:
        fields[_WIRE.get(name, name)] = getattr(record, name)
    fields['views'] = [
        {'host': host, 'number': number} for host, number in record.views
    ]
    return fields


def record_from_wire(fields):
    """Return a record from the schema's fields, None for an unknown kind."""
    if fields['kind'] not in _KINDS:
        return None
    views = [(one['host'], one['number']) for one in fields['views']]
    found = {name: fields[_WIRE.get(name, name)] for name in _FIELDS}
    found['views'] = tuple(sorted(views))
    return Record(**found)


class Sharing:
    """Sends changed records on, and finds what was missed.

    Explanation
    ===========

    A changed record goes to all linked peers but the one it came from; who
    knows it already sends it no further. Heartbeats carry a sum over the
    table. When the sums of two peers stay different, they compare sums by
    bucket and send only the records of those that differ.

    Parameters
    ==========

    hub : Hub
        Links to peers.
    table : Table
        The records.
    admits : function
        Whether a record that is new to this host is taken from a peer.
    """

    __slots__ = (
        'admits',
        'changed',
        'compared',
        'fresh',
        'hub',
        'table',
        'timer',
    )

    def __init__(self, hub, table, admits):
        self.hub = hub
        self.table = table
        self.admits = admits
        self.fresh = {}
        self.compared = {}
        self.changed = 0.0
        self.timer = None
        table.listeners.append(self._changed)
        hub.message_handlers[News] = self._take_news
        hub.message_handlers[Sums] = self._take_sums
        hub.link_down_handlers.append(self._forget_link)

    def stop(self):
        """Send nothing more."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def heard(self, link, beat):
        """Compare tables if a peer's sum is not the own one."""
        if beat.members == self.table.total():
            return
        now = self.hub.clock.seconds()
        if now - self.changed < _QUIET_SECONDS:
            return
        self._compare(link, now)

    def _compare(self, link, now):
        if now - self.compared.get(link.host, -_COMPARE_SECONDS) < (
            _COMPARE_SECONDS
        ):
            return
        self.compared[link.host] = now
        link.send(Sums(list(self.table.sums)))

    def _forget_link(self, host, link):
        self.compared.pop(host, None)

    def _changed(self, before, after, source):
        self.changed = self.hub.clock.seconds()
        key = (after.kind, after.name)
        # What came from two sides, or was changed here as well, is news to
        # each of them.
        other = self.fresh.get(key, source) is not source
        self.fresh[key] = None if other else source
        if self.timer is None or not self.timer.active():
            self.timer = self.hub.clock.callLater(
                _GATHER_SECONDS,
                self._flush,
            )

    def _flush(self):
        fresh = self.fresh
        self.fresh = {}
        for link in list(self.hub.links.values()):
            news = []
            for key, source in fresh.items():
                if source is not link and key in self.table.records:
                    news.append(self.table.records[key])
            self._send(link, news)

    def _send(self, link, records):
        for start in range(0, len(records), _PAGE):
            page = records[start : start + _PAGE]
            link.send(News([wire_record(one) for one in page]))

    def _take_news(self, link, news):
        for fields in news.members[:_PAGE]:
            record = record_from_wire(fields)
            if record is None:
                continue
            known = (record.kind, record.name) in self.table.records
            if known or self.admits(record):
                self.table.offer(record, link)

    def _take_sums(self, link, sums):
        if len(sums.sums) != BUCKETS:
            return
        numbers = self.table.differing(sums.sums)
        if not numbers:
            return
        self._send(link, self.table.in_buckets(numbers))
        self._compare(link, self.hub.clock.seconds())
