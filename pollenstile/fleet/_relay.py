"""Distribution of the configuration from peer to peer."""

from twisted.internet.defer import Deferred

from pollenstile.fleet import events
from pollenstile.fleet._inforce import Lineage
from pollenstile.peer import (
    BadMessageError,
    Beat,
    RecentTexts,
    Unanswered,
    apply_patch,
    decode_struct,
    patch_fields,
    patch_from,
    schema,
    text_digest,
)

SUBJECT = 'config'
_TIMEOUT_SECONDS = 1.0
_RETRY_SECONDS = 0.2


class Relay:
    """Fetches the configuration from peers and sends it to them.

    Explanation
    ===========

    Each heartbeat carries the version in force. A host that receives a higher
    one requests its text, from one peer at a time, with the digest of its own
    text, so that a small change costs few bytes. Each version is validated by
    :class:`InForce` in the same way as one from the platform.

    Parameters
    ==========

    hub : Hub
        Links to peers.
    in_force : InForce
        The configuration.
    log : function
        Writes events.
    """

    __slots__ = (
        'hub',
        'in_force',
        'is_asking',
        'log',
        'recent_texts',
        'retry_timer',
    )

    def __init__(self, hub, in_force, log):
        self.hub = hub
        self.in_force = in_force
        self.log = log
        self.is_asking = False
        self.retry_timer = None
        self.recent_texts = RecentTexts()
        hub.requests.subjects[SUBJECT] = self.answer_request
        in_force.listeners.append(self._on_snapshot)

    def on_beat(self, link, beat):
        """Request the text of a peer's version if it is higher."""
        if self.is_asking or beat.version <= self._highest_known():
            return
        self.is_asking = True
        Deferred.fromCoroutine(self._fetch(link, beat.version))

    def answer_request(self, host, body):
        """Return the encoded configuration in force for a peer's request."""
        request = decode_struct(schema.ConfigAsk, body, _decode_request)
        snapshot = self.in_force.snapshot
        if snapshot is None:
            return schema.ConfigContent.new_message().to_bytes()
        return schema.ConfigContent.new_message(
            version=snapshot.version,
            mark=self.in_force.lineage.mark,
            history=list(self.in_force.lineage.history),
            **patch_fields(self.recent_texts.patch_from(request[1])),
        ).to_bytes()

    def _highest_known(self):
        return max(self.in_force.version, self.in_force.refused)

    def _on_snapshot(self, snapshot):
        text = self.in_force.text
        self.recent_texts.keep(text_digest(text), text)
        self.hub.send_beats()

    async def _fetch(self, link, version):
        try:
            await self._fetch_from(link, version)
        finally:
            self.is_asking = False
        self._retry()

    async def _fetch_from(self, link, version):
        body = self._encode_request(self.in_force.text)
        host = link.host
        answer = await self.hub.ask(host, SUBJECT, body, _TIMEOUT_SECONDS)
        if isinstance(answer, Unanswered):
            self._schedule_retry()
            return
        config = self._decode_text(answer)
        if config is None:
            self.log(
                events.CONFIG_GARBLED,
                level='warning',
                peer=host,
                version=version,
            )
            self._schedule_retry()
            return
        version, text, lineage = config
        if not self.in_force.offer(version, text, f'peer {host}', lineage):
            self._schedule_retry()

    def _encode_request(self, text):
        return schema.ConfigAsk.new_message(
            version=self.in_force.version,
            digest=text_digest(text) if text else b'',
        ).to_bytes()

    def _decode_text(self, answer):
        try:
            version, patch, lineage = decode_struct(
                schema.ConfigContent, answer, _decode_content
            )
        except BadMessageError:
            return None
        text = apply_patch(self.in_force.text, patch)
        return None if text is None else (version, text, lineage)

    def _schedule_retry(self):
        # A peer that does not answer, or answers incorrectly, must not be asked
        # again in a tight loop; the next heartbeat or this timer selects a peer
        # again.
        if self.retry_timer is None or not self.retry_timer.active():
            self.retry_timer = self.hub.clock.callLater(
                _RETRY_SECONDS * self.hub.random.uniform(1, 2),
                self._retry,
            )

    def _retry(self):
        if self.retry_timer is not None and self.retry_timer.active():
            return
        ahead = []
        for link in self.hub.links.values():
            if link.beat.version > self._highest_known():
                ahead.append(link)
        if ahead and not self.is_asking and not self.hub.stopped:
            link = self.hub.random.choice(ahead)
            self.on_beat(link, Beat(version=link.beat.version))


def _decode_request(reader):
    return reader.version, bytes(reader.digest)


def _decode_content(reader):
    lineage = Lineage(reader.mark, tuple(reader.history))
    return reader.version, patch_from(reader), lineage
