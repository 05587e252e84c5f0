"""Upstreams whose older entries a store shows after its return from a copy."""

from pollenstile.forward import events
from pollenstile.ops.logs import silent_log
from pollenstile.ops.timers import cancel_timer

# Seconds for which a removed incarnation is remembered. Copies are some seconds
# old, and a store may return several times.
_REMEMBER_SECONDS = 60.0
# Seconds after which an entry that had been removed is followed all the same.
# The platform removes the entry of a process that is gone sooner.
_DOUBT_SECONDS = 10.0


class ReturnedEntries:
    """Remembers removed upstreams, and doubts entries that bring them back.

    Explanation
    ===========

    The copy may hold the entry of an upstream that has left since. Until the
    upstream writes it again, or for a time, it is not followed.

    Parameters
    ==========

    clock : IReactorTime
        Seconds, and the timers.
    on_trusted : function
        Called without arguments when an entry is not doubted any more.
    log : function
        Writes events.

    Attributes
    ==========

    removed : dict
        Time on the clock of the removal, and whether the upstream had said that
        it leaves, by name of the incarnation.
    doubts : dict
        Timers of the entries that are not followed, by identifier.
    """

    __slots__ = ('clock', 'doubts', 'log', 'on_trusted', 'removed')

    def __init__(self, clock, on_trusted, log=silent_log):
        self.clock = clock
        self.on_trusted = on_trusted
        self.log = log
        self.removed = {}
        self.doubts = {}

    def note_removed(self, upstream):
        """Remember that an upstream's entry was removed."""
        now = self.clock.seconds()
        self.end_doubt(upstream.ident)
        self.removed[upstream.incarnation] = (now, upstream.leaving)
        oldest = now - _REMEMBER_SECONDS
        for name, (removed_at, _) in list(self.removed.items()):
            if removed_at < oldest:
                self.removed.pop(name)

    def check(self, upstream, before, leaving):
        """Compare an entry that the store shows with what was known.

        Parameters
        ==========

        upstream : Upstream
            The entry.
        before : Upstream or None
            The last entry under the same identifier that was followed.
        leaving : LeavingUpstreams
            Learns that the incarnation leaves if it had said so.
        """
        name = upstream.incarnation
        was_removed, had_left = name in self.removed, False
        if was_removed:
            had_left = self.removed[name][1]
        elif before is not None and before.incarnation == name:
            had_left = before.leaving
        if had_left:
            leaving.note_entry(name, upstream.service)
        elif was_removed:
            self._doubt(upstream)

    def _doubt(self, upstream):
        self.log(
            events.ENTRY_DOUBTED, peer=upstream.ident, service=upstream.service
        )
        self.doubts[upstream.ident] = self.clock.callLater(
            _DOUBT_SECONDS, self._trust, upstream.ident
        )

    def end_doubt(self, ident):
        """Follow an entry, which was written or removed since the return."""
        timer = self.doubts.pop(ident, None)
        cancel_timer(timer)

    def _trust(self, ident):
        self.end_doubt(ident)
        self.on_trusted()
