"""Keepers are told of the versions at which streams began."""

from pollenstile.ops.logs import silent_log
from pollenstile.ops.loops import start_step
from pollenstile.origins import events
from pollenstile.origins._asking import OriginAsking, ask_peer
from pollenstile.origins._codec import (
    ToldOrigins,
    decode_origins,
    encode_origins,
)
from pollenstile.origins._keepers import copy_candidates, keepers_by_domain
from pollenstile.peer import Unanswered

TELL_SUBJECT = 'stream-origins'
_LOOP = 'news of streams'
# Minimum seconds between two messages to one keeper. Streams that began in
# between are unknown to it when their host ends.
_COLLECT_SECONDS = 0.25
# Seconds for a keeper to take a message, the connection included.
_TELL_SECONDS = 0.8
# Seconds after which all streams are told again that no keeper took.
_RETRY_SECONDS = 0.5


class _Copy:
    """One copy of this host's streams, at one of some keepers.

    Attributes
    ==========

    candidates : list of str
        Keepers in order; the first that answers is told.
    keeper : str
        The keeper that was told last; empty at first.
    is_resting : bool
        Whether no candidate has taken the last message, and none is sent until
        all streams are told again.
    """

    __slots__ = ('candidates', 'is_resting', 'keeper')

    def __init__(self, candidates):
        self.candidates = candidates
        self.keeper = ''
        self.is_resting = False


class OriginSharing:
    """Tells keepers of this host's streams.

    Explanation
    ===========

    Nothing is told while one version of a service is seen. When a second one
    appears, and when a keeper starts again, all streams are told, and the
    versions, which the keeper may not have read yet.

    Parameters
    ==========

    hub : Hub
        Links to peers.
    origins : Origins
        Streams that are known here.
    hosts : dict
        :class:`PeerHost` of each other host, by name; the caller updates it as
        membership changes, and calls :meth:`update_hosts`.
    log : function
        Writes events.

    Attributes
    ==========

    keepers : dict
        Keepers by failure domain, this host included.
    copies : list of _Copy
        Where this host's streams are kept.
    pending : dict
        Streams that keepers have not been told of, by key.
    record : function
        Called with streams, by key, that this host records in the store for its
        domain.
    asking : OriginAsking
        Asks the same keepers for the streams of others.
    """

    __slots__ = (
        'asking',
        'copies',
        'hosts',
        'hub',
        'keepers',
        'log',
        'origins',
        'pending',
        'record',
        'sent_at',
        'timer',
    )

    def __init__(self, hub, origins, hosts, log=silent_log):
        self.hub = hub
        self.origins = origins
        self.hosts = hosts
        self.log = log
        self.keepers = {}
        self.copies = []
        self.pending = {}
        self.record = _ignore_streams
        self.asking = OriginAsking(hub, origins, hosts)
        self.timer = None
        self.sent_at = -_COLLECT_SECONDS
        origins.on_began = self._began
        origins.history.listeners.append(self._version_seen)
        hub.requests.subjects[TELL_SUBJECT] = self._on_told
        hub.link_up_handlers.append(self._link_opened)

    def update_hosts(self):
        """Choose the keepers among the current hosts."""
        hello = self.hub.hello
        domains = {name: peer.domain for name, peer in self.hosts.items()}
        domains[hello.host] = hello.domain
        self.keepers = keepers_by_domain(domains)
        self.asking.keepers = self.keepers
        chosen = copy_candidates(hello.host, hello.domain, self.keepers)
        if [copy.candidates for copy in self.copies] != list(chosen):
            self.copies = [_Copy(candidates) for candidates in chosen]
            self._tell_all()

    def _began(self, key):
        origin = self.origins.table.by_key[key]
        if self.origins.history.is_mixed(origin.service):
            self._tell({key: origin})

    def _version_seen(self, service):
        history = self.origins.history
        if not history.is_mixed(service):
            return
        versions = sorted(history.versions(service))
        self.log(events.SOFTWARE_MIXED, service=service, versions=versions)
        self._tell_all()

    def _told_streams(self):
        history = self.origins.history
        mixed = {name for name in history.gone_at if history.is_mixed(name)}
        return self.origins.table.own(mixed.__contains__)

    def _told_versions(self):
        """Return service and version of each version that the registry lists.

        Explanation
        ===========

        Those that are gone, or that only peers have named, are left out: hosts
        that told each other of one would never forget it.
        """
        history = self.origins.history
        return frozenset(
            (service, software)
            for service in history.gone_at
            if history.is_mixed(service)
            for software in history.present_versions(service)
        )

    def _tell_all(self):
        self._tell(self._told_streams())

    def _tell(self, streams):
        if _records_own(self):
            self.record(streams)
        self.pending.update(streams)
        if self.timer is None and (self.pending or self._told_versions()):
            clock = self.hub.clock
            due = self.sent_at + _COLLECT_SECONDS - clock.seconds()
            self.timer = clock.callLater(max(0, due), self._send_pending)

    def _send_pending(self):
        self.timer = None
        self.sent_at = self.hub.clock.seconds()
        streams = self.pending
        self.pending = {}
        for copy in self.copies:
            if not copy.is_resting:
                self._start_send(copy, streams)

    def _start_send(self, copy, streams):
        step = start_step(self.log, _LOOP, self._send(copy, streams))
        step.addCallback(self._note_result, copy, streams)

    async def _send(self, copy, streams):
        """Tell a keeper; return why none has heard, empty if one has."""
        reason = 'no keeper'
        for keeper in copy.candidates:
            if self.hub.stopped:
                return ''
            if keeper != copy.keeper:
                streams = self._told_streams()
            told = ToldOrigins(streams, self._told_versions())
            body = encode_origins(told, self.hub.clock.seconds())
            answer = await ask_peer(
                self.hub, self.hosts, keeper, TELL_SUBJECT, body, _TELL_SECONDS
            )
            if not isinstance(answer, Unanswered):
                copy.keeper = keeper
                return ''
            reason = answer.reason
        return reason

    def _note_result(self, reason, copy, streams):
        """Rest after a failure; a step that ended with an error has None."""
        if reason == '' or copy.is_resting or not copy.candidates:
            return
        copy.keeper = ''
        copy.is_resting = True
        if copy is self.copies[0]:
            self.record(self._told_streams())
        self.log(
            events.ORIGINS_UNSENT,
            peer=copy.candidates[0],
            reason=reason or 'error',
            streams=len(streams),
        )
        self.hub.clock.callLater(_RETRY_SECONDS, self._retry, copy)

    def _retry(self, copy):
        copy.is_resting = False
        streams = self._told_streams()
        if self._told_versions() and not self.hub.stopped:
            self._start_send(copy, streams)

    def _link_opened(self, link):
        """Tell a keeper again whose link was lost: it may have started anew."""
        for copy in self.copies:
            if copy.keeper == link.host and self._told_versions():
                self._start_send(copy, self._told_streams())

    def _on_told(self, host, body):
        told = decode_origins(body, self.hub.clock.seconds())
        streams = told.streams
        for service, software in told.versions:
            self.origins.history.note_told(service, software)
        for key, origin in streams.items():
            self.origins.table.add(key, origin)
        entry = self.hosts.get(host)
        is_near = entry is not None and entry.domain == self.hub.hello.domain
        if is_near and not _is_keeper(self, host):
            self.record(streams)
        return b''


def _is_keeper(sharing, host):
    """Return whether a host is a keeper of the own failure domain."""
    return host in sharing.keepers.get(sharing.hub.hello.domain, ())


def _records_own(sharing):
    """Return whether no keeper records the streams of this host."""
    if _is_keeper(sharing, sharing.hub.hello.host) or not sharing.copies:
        return True
    near = sharing.copies[0]
    return near.is_resting or not near.candidates


def _ignore_streams(streams):
    """Record nothing; the default of a host without a store."""
