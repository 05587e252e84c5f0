"""Exchange of crash reports and verdicts between hosts."""

from functools import partial

from pollenstile.ops.logs import silent_log
from pollenstile.ops.loops import start_step
from pollenstile.peer import BadMessageError, Beat, Unanswered, neighbours_of
from pollenstile.platform import paused
from pollenstile.quarantine import events
from pollenstile.quarantine._codec import decode_update, encode_update
from pollenstile.quarantine._types import QuarantineUpdate, merge_updates

UPDATE_SUBJECT = 'quarantine-news'
COMPARE_SUBJECT = 'quarantine-held'
_LOOP = 'news of quarantine'
# Seconds over which updates are collected before they are sent. Each host with
# requests at a crashed process reports it, within a few round trips.
_COLLECT_SECONDS = 0.01
# Seconds for a peer to accept an update, the connection included; the number of
# attempts, and the pause between them.
_SEND_TIMEOUT_SECONDS = 0.8
_MAX_ATTEMPTS = 3
_RETRY_SECONDS = 0.3
# Minimum seconds between two comparisons with one peer.
_COMPARE_PERIOD_SECONDS = 1.0


class VerdictSharing:
    """Forwards updates to neighbours, and compares verdicts with peers.

    Explanation
    ===========

    A host forwards each update that is new to it to its neighbours, except to
    the one that sent it. Heartbeats carry a digest of the verdicts; when two
    digests differ, both hosts send their verdicts.

    Parameters
    ==========

    hub : Hub
        Links to peers.
    quarantine : Quarantine
        Quarantine state of this host.
    hosts : dict
        :class:`PeerHost` of each other host, by name; the caller updates it as
        membership changes.
    log : function
        Writes events.
    """

    __slots__ = (
        'compared_at',
        'hosts',
        'hub',
        'log',
        'pending',
        'quarantine',
        'timer',
    )

    def __init__(self, hub, quarantine, hosts, log=silent_log):
        self.hub = hub
        self.quarantine = quarantine
        self.hosts = hosts
        self.log = log
        self.pending = []
        self.compared_at = {}
        self.timer = None
        quarantine.on_update = self.forward
        hub.requests.subjects[UPDATE_SUBJECT] = self._on_update
        hub.requests.subjects[COMPARE_SUBJECT] = self._on_compare
        hub.message_handlers[Beat] = self._on_heartbeat

    def forward(self, update, source=''):
        """Forward an update to the neighbours, except to its source."""
        self.pending.append((update, source))
        if self.timer is None:
            clock = self.hub.clock
            self.timer = clock.callLater(_COLLECT_SECONDS, self._send_pending)

    def _send_pending(self):
        self.timer = None
        pending = self.pending
        self.pending = []
        for host in sorted(neighbours_of(self.hub.hello, self.hosts)):
            updates = [update for update, source in pending if source != host]
            if updates:
                sending = self._send(host, merge_updates(updates))
                start_step(self.log, _LOOP, sending)

    async def _send(self, host, update):
        clock = self.hub.clock
        answer = None
        for attempt in range(_MAX_ATTEMPTS):
            if attempt:
                await paused(clock, _RETRY_SECONDS)
            peer = self.hosts.get(host)
            if peer is None or self.hub.stopped:
                return
            answer = await self.hub.ask(
                host,
                UPDATE_SUBJECT,
                encode_update(update, clock.seconds()),
                _SEND_TIMEOUT_SECONDS,
                peer.address,
            )
            if not isinstance(answer, Unanswered):
                return
        self.log(events.UPDATE_UNSENT, peer=host, reason=answer.reason)

    def _on_update(self, host, body):
        fresh = self._apply(body)
        if not fresh.is_empty():
            self.forward(fresh, host)
        return b''

    def _apply(self, body):
        now = self.hub.clock.seconds()
        return self.quarantine.apply(decode_update(body, now))

    def _on_heartbeat(self, link, beat):
        """Compare verdicts with a peer whose digest differs."""
        if beat.quarantine == self.quarantine.verdicts.digest():
            return
        now = self.hub.clock.seconds()
        last = self.compared_at.get(link.host, -_COMPARE_PERIOD_SECONDS)
        if now - last < _COMPARE_PERIOD_SECONDS:
            return
        self.compared_at[link.host] = now
        answer = self.hub.ask(
            link.host,
            COMPARE_SUBJECT,
            self._own_verdicts(),
            _SEND_TIMEOUT_SECONDS,
        )
        answer.addCallback(partial(self._on_compare_answer, link.host))

    def _on_compare_answer(self, host, answer):
        if isinstance(answer, Unanswered):
            self.log(events.UPDATE_UNSENT, peer=host, reason=answer.reason)
            return
        try:
            self._on_update(host, answer)
        except BadMessageError as error:
            self.log(events.UPDATE_UNSENT, peer=host, reason=str(error))

    def _on_compare(self, host, body):
        self._on_update(host, body)
        return self._own_verdicts()

    def _own_verdicts(self):
        verdicts = self.quarantine.verdicts.by_fingerprint.values()
        update = QuarantineUpdate(verdicts=tuple(verdicts))
        return encode_update(update, self.hub.clock.seconds())
