"""Replication of membership records between peers."""

from pollenstile.fleet._record import HOST, UPSTREAM, Record
from pollenstile.fleet._table import BUCKETS
from pollenstile.ops.timers import cancel_timer
from pollenstile.peer import News, Sums

# Seconds within which changes are collected into one message.
_BATCH_SECONDS = 0.02
# Minimum seconds between two comparisons with one peer. After a message was
# lost, tables differ until their sums are compared.
_COMPARE_SECONDS = 2.0
# Seconds for which a table must be unchanged before it is compared.
_SETTLE_SECONDS = 0.5
# Records per message.
_PAGE_RECORDS = 200
_KINDS = frozenset((HOST, UPSTREAM))
_FIELDS = tuple(Record.__slots__)
_WIRE_NAMES = {'listed_leaving': 'listedLeaving'}


def encode_record(record):
    """Return a record's fields by their names in the schema."""
    fields = {}
    for name in _FIELDS:
        fields[_WIRE_NAMES.get(name, name)] = getattr(record, name)
    fields['views'] = [
        {'host': host, 'number': number} for host, number in record.views
    ]
    return fields


def decode_record(fields):
    """Return a record from the schema's fields, None for an unknown kind."""
    if fields['kind'] not in _KINDS:
        return None
    views = [(view['host'], view['number']) for view in fields['views']]
    values = {name: fields[_WIRE_NAMES.get(name, name)] for name in _FIELDS}
    values['views'] = tuple(sorted(views))
    return Record(**values)


class Sharing:
    """Forwards changed records and repairs differences between tables.

    Explanation
    ===========

    A changed record is sent to all linked peers except the one it came from; a
    peer that already has it does not forward it. Heartbeats carry a sum over
    the table. When the sums of two peers stay different, they compare sums by
    bucket and send only the records of the buckets that differ.

    Parameters
    ==========

    hub : Hub
        Links to peers.
    table : Table
        The records.
    admits : function
        Takes a peer's record that is new to this host; returns whether to
        accept it.

    Attributes
    ==========

    pending : dict
        Source link of each changed record that is not sent yet, by kind and
        name; None for changes of this host or of several sources.
    compared_at : dict
        Time of the last comparison with each peer.
    changed_at : float
        Time of the last change of the table.
    """

    __slots__ = (
        'admits',
        'changed_at',
        'compared_at',
        'hub',
        'pending',
        'table',
        'timer',
    )

    def __init__(self, hub, table, admits):
        self.hub = hub
        self.table = table
        self.admits = admits
        self.pending = {}
        self.compared_at = {}
        self.changed_at = 0.0
        self.timer = None
        table.listeners.append(self._on_record)
        hub.message_handlers[News] = self._apply_records
        hub.message_handlers[Sums] = self._answer_sums
        hub.link_down_handlers.append(self._link_closed)

    def stop(self):
        """Cancel the pending send."""
        cancel_timer(self.timer)

    def on_beat(self, link, beat):
        """Compare tables if the sum of a peer differs from this host's."""
        if beat.members == self.table.total():
            return
        now = self.hub.clock.seconds()
        if now - self.changed_at < _SETTLE_SECONDS:
            return
        self._compare(link, now)

    def _compare(self, link, now):
        if now - self.compared_at.get(link.host, -_COMPARE_SECONDS) < (
            _COMPARE_SECONDS
        ):
            return
        self.compared_at[link.host] = now
        link.send(Sums(list(self.table.sums)))

    def _link_closed(self, host, link):
        self.compared_at.pop(host, None)

    def _on_record(self, before, after, source):
        self.changed_at = self.hub.clock.seconds()
        key = (after.kind, after.name)
        # A record that was changed by several sources is sent to all of them.
        has_other_source = self.pending.get(key, source) is not source
        self.pending[key] = None if has_other_source else source
        if self.timer is None or not self.timer.active():
            self.timer = self.hub.clock.callLater(
                _BATCH_SECONDS,
                self._flush,
            )

    def _flush(self):
        pending = self.pending
        self.pending = {}
        for link in list(self.hub.links.values()):
            records = []
            for key, source in pending.items():
                if source is not link and key in self.table.records:
                    records.append(self.table.records[key])
            self._send(link, records)

    def _send(self, link, records):
        for start in range(0, len(records), _PAGE_RECORDS):
            page = records[start : start + _PAGE_RECORDS]
            link.send(News([encode_record(record) for record in page]))

    def _apply_records(self, link, news):
        for fields in news.members[:_PAGE_RECORDS]:
            record = decode_record(fields)
            if record is None:
                continue
            known = (record.kind, record.name) in self.table.records
            if known or self.admits(record):
                self.table.offer(record, link)

    def _answer_sums(self, link, sums):
        if len(sums.sums) != BUCKETS:
            return
        numbers = self.table.differing_buckets(sums.sums)
        if not numbers:
            return
        self._send(link, self.table.in_buckets(numbers))
        self._compare(link, self.hub.clock.seconds())
