"""News that hosts forward from neighbour to neighbour."""

from functools import partial

from pollenstile.ops.loops import guarded
from pollenstile.peer._neighbours import neighbours_of
from pollenstile.peer._requests import Unanswered

_LOOP = 'news to neighbours'
# Seconds over which news is collected before it is sent, and the minimum
# seconds between two messages about one item, which may change with each
# answer of an upstream.
_COLLECT_SECONDS = 0.02
_NEWS_PERIOD_SECONDS = 1.0
# Seconds for a peer to answer, the connection included.
_REQUEST_TIMEOUT_SECONDS = 0.8


class Flood:
    """Forwards changed items to the neighbours, and all items to new links.

    Explanation
    ===========

    A host forwards each item that is new to it to its neighbours, except to the
    one that it comes from; those forward it in turn. A peer whose link opens
    gets all items: it has started, or was cut off.

    Parameters
    ==========

    hub : Hub
        Links to peers.
    subject : str
        Subject of the messages.
    hosts : dict
        :class:`PeerHost` of each other host, by name; the caller updates it as
        membership changes.
    encode : function
        Takes names of items; returns a message, or ``b''`` for nothing to say.
    apply : function
        Takes a host and its message. Calls :meth:`note_changed` for each item
        that is new here; raises BadMessageError for other bytes.
    names : function
        Returns the names of all items.
    log_unsent : function
        Called with a peer and the reason why it did not take a message.

    Attributes
    ==========

    pending : dict
        Items that neighbours are told of next, and the host that this host got
        each from; empty if it is its own.
    sent_at : dict
        Time at which neighbours were told of an item.
    source : str
        The host whose news is being applied; empty otherwise.
    """

    __slots__ = (
        'apply',
        'encode',
        'hosts',
        'hub',
        'log_unsent',
        'names',
        'pending',
        'sent_at',
        'source',
        'subject',
        'timer',
    )

    def __init__(self, hub, subject, hosts, encode, apply, names, log_unsent):
        self.hub = hub
        self.subject = subject
        self.hosts = hosts
        self.encode = encode
        self.apply = apply
        self.names = names
        self.log_unsent = log_unsent
        self.pending = {}
        self.sent_at = {}
        self.source = ''
        self.timer = None
        hub.requests.subjects[subject] = self._on_news
        hub.link_up_handlers.append(self._link_opened)

    def note_changed(self, name):
        """Forward an item to the neighbours soon."""
        self.pending.setdefault(name, self.source)
        self._schedule()

    def _on_news(self, host, body):
        self.source = host
        try:
            self.apply(host, body)
        finally:
            self.source = ''
        return b''

    def _schedule(self):
        if self.timer is None and self.pending:
            now = self.hub.clock.seconds()
            due = min(
                self.sent_at.get(name, -_NEWS_PERIOD_SECONDS)
                for name in self.pending
            )
            delay = max(_COLLECT_SECONDS, due + _NEWS_PERIOD_SECONDS - now)
            self.timer = self.hub.clock.callLater(delay, self._send_pending)

    def _send_pending(self):
        self.timer = None
        now = self.hub.clock.seconds()
        due = {
            name: source
            for name, source in self.pending.items()
            if now - self.sent_at.get(name, -_NEWS_PERIOD_SECONDS)
            >= _NEWS_PERIOD_SECONDS
        }
        recent = now - _NEWS_PERIOD_SECONDS
        self.sent_at = {
            name: at for name, at in self.sent_at.items() if at > recent
        }
        for name in due:
            self.pending.pop(name)
            self.sent_at[name] = now
        send = guarded(self.hub.log, _LOOP, self._send)
        for host in sorted(neighbours_of(self.hub.hello, self.hosts)):
            names = [name for name, source in due.items() if source != host]
            send(host, names)
        self._schedule()

    def _send(self, host, names):
        message = self.encode(names)
        peer = self.hosts.get(host)
        if not message or peer is None or self.hub.stopped:
            return
        answer = self.hub.ask(
            host,
            self.subject,
            message,
            _REQUEST_TIMEOUT_SECONDS,
            peer.address,
        )
        answer.addCallback(partial(self._note_sent, host))

    def _note_sent(self, host, answer):
        if isinstance(answer, Unanswered):
            self.log_unsent(host, answer.reason)

    def _link_opened(self, link):
        self._send(link.host, list(self.names()))
