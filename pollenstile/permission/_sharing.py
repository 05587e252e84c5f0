"""News between hosts of upstreams that leave."""

from pollenstile.ops.logs import silent_log
from pollenstile.peer import Flood
from pollenstile.permission import events
from pollenstile.permission._codec import decode_departures, encode_departures

LEAVING_SUBJECT = 'leaving-news'


class LeavingSharing:
    """Forwards to other hosts which upstreams state that they leave.

    Explanation
    ===========

    A host that sends nothing to an upstream would not learn it from an answer,
    and its entry in the registry may be late, or the store away.

    Parameters
    ==========

    hub : Hub
        Links to peers.
    leaving : LeavingUpstreams
        The upstreams that leave, as far as this host knows.
    hosts : dict
        :class:`PeerHost` of each other host, by name; the caller updates it as
        membership changes.
    is_listed : function
        Takes the name of an incarnation; returns whether its entry states that
        it leaves, so that other hosts learn it from the registry.
    log : function
        Writes events.

    Attributes
    ==========

    flood : Flood
        Forwards the news.
    """

    __slots__ = ('flood', 'hub', 'is_listed', 'leaving', 'log')

    def __init__(self, hub, leaving, hosts, is_listed, log=silent_log):
        self.hub = hub
        self.leaving = leaving
        self.is_listed = is_listed
        self.log = log
        self.flood = Flood(
            hub,
            LEAVING_SUBJECT,
            hosts,
            self._encode,
            self._apply,
            self._names_to_tell,
            self._log_unsent,
        )
        leaving.listeners.append(self._learned)

    def _learned(self, name):
        if not self.is_listed(name):
            self.flood.note_changed(name)

    def _names_to_tell(self):
        return [
            name for name in self.leaving.by_name if not self.is_listed(name)
        ]

    def _encode(self, names):
        known = self.leaving.by_name
        stated_at = {
            name: known[name].stated_at for name in names if name in known
        }
        if not stated_at:
            return b''
        return encode_departures(stated_at, self.hub.clock.seconds())

    def _apply(self, host, body):
        received = decode_departures(body, self.hub.clock.seconds())
        for name, stated_at in received.items():
            self.leaving.learn(name, stated_at, source=host)

    def _log_unsent(self, host, reason):
        self.log(events.LEAVING_NEWS_UNSENT, peer=host, reason=reason)
