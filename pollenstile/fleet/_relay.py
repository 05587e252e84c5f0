"""The configuration, from peer to peer."""

from twisted.internet.defer import Deferred

from pollenstile.fleet import events
from pollenstile.peer import (
    BadMessageError,
    Beat,
    RecentTexts,
    Unanswered,
    decode_struct,
    patch_fields,
    patch_from,
    apply_patch,
    schema,
    text_digest,
)

SUBJECT = 'config'
_ASK_SECONDS = 1.0
_RETRY_SECONDS = 0.2


class Relay:
    """Learns the configuration from peers and hands it over to them.

    Explanation
    ===========

    Each heartbeat carries the version in force. A host that hears of a
    higher one asks for its content, of one peer at a time, and names what it
    has, so that a small change costs few bytes. Nothing is taken that
    :class:`InForce` would not take from the platform.

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
        'asking',
        'hub',
        'in_force',
        'kept',
        'log',
        'waiting',
    )

    def __init__(self, hub, in_force, log):
        self.hub = hub
        self.in_force = in_force
        self.log = log
        self.asking = False
        self.waiting = None
        self.kept = RecentTexts()
        hub.requests.subjects[SUBJECT] = self.content
        in_force.listeners.append(self._keep)

    def heard(self, link, beat):
        """Note a peer's version; ask for its content if it is higher."""
        if self.asking or beat.version <= self._known():
            return
        self.asking = True
        Deferred.fromCoroutine(self._learn(link, beat.version))

    def content(self, host, body):
        """Return the content in force, for a peer that asks."""
        asked = decode_struct(schema.ConfigAsk, body, _asked)
        snapshot = self.in_force.snapshot
        if snapshot is None:
            return schema.ConfigContent.new_message().to_bytes()
        return schema.ConfigContent.new_message(
            version=snapshot.version,
            **patch_fields(self.kept.patch_from(asked[1])),
        ).to_bytes()

    def _known(self):
        return max(self.in_force.version, self.in_force.refused)

    def _keep(self, snapshot):
        text = self.in_force.text
        self.kept.keep(text_digest(text), text)
        self.hub.send_beats()

    async def _learn(self, link, version):
        try:
            await self._learn_from(link, version)
        finally:
            self.asking = False
        self._look_again()

    async def _learn_from(self, link, version):
        body = self._question(self.in_force.text)
        host = link.host
        answer = await self.hub.ask(host, SUBJECT, body, _ASK_SECONDS)
        if isinstance(answer, Unanswered):
            self._pause()
            return
        found = self._text_of(answer)
        if found is None:
            self.log(
                events.CONFIG_GARBLED,
                level='warning',
                peer=host,
                version=version,
            )
            self._pause()
            return
        if not self.in_force.offer(found[0], found[1], f'peer {host}'):
            self._pause()

    def _question(self, text):
        return schema.ConfigAsk.new_message(
            version=self.in_force.version,
            digest=text_digest(text) if text else b'',
        ).to_bytes()

    def _text_of(self, answer):
        try:
            version, patch = decode_struct(
                schema.ConfigContent, answer, _content
            )
        except BadMessageError:
            return None
        text = apply_patch(self.in_force.text, patch)
        return None if text is None else (version, text)

    def _pause(self):
        # A peer that does not answer, or answers wrong, must not be asked
        # again in a loop; the next beat or this pause leads to another.
        if self.waiting is None or not self.waiting.active():
            self.waiting = self.hub.clock.callLater(
                _RETRY_SECONDS * self.hub.random.uniform(1, 2),
                self._look_again,
            )

    def _look_again(self):
        if self.waiting is not None and self.waiting.active():
            return
        ahead = []
        for link in self.hub.links.values():
            if link.beat.version > self._known():
                ahead.append(link)
        if ahead and not self.asking and not self.hub.stopped:
            link = self.hub.random.choice(ahead)
            self.heard(link, Beat(version=link.beat.version))


def _asked(reader):
    return reader.version, bytes(reader.digest)


def _content(reader):
    return reader.version, patch_from(reader)
