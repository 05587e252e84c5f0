"""The version at which a stream began: what a host knows and finds out."""

from dataclasses import dataclass, replace

from twisted.internet.defer import Deferred, succeed

from pollenstile.ops.logs import silent_log
from pollenstile.origins._conclusion import Witness, concluded_version
from pollenstile.origins._history import HISTORY_SECONDS, SoftwareHistory
from pollenstile.origins._table import Origin, OriginTable
from pollenstile.platform import ReadResult, fork_deferred

# Seconds after which a caller should try again when a host that may know its
# stream did not answer: another host may reach it.
_RETRY_SECONDS = 0.3
# Seconds for which a stream is remembered after its caller's deadline.
_SLACK_SECONDS = 2.0
# Seconds for which a request waits until the registry is read. A slow store
# answers within 0.3 s.
_READ_SECONDS = 0.5
# Seconds for which a request waits for a stream that is looked into.
_HOLD_SECONDS = 0.75
# How the version of a stream is known that was read from the store.
_OWN = 'own'
_ONLY_VERSION = 'only version'
_STORE = 'store'


@dataclass(slots=True, frozen=True)
class OriginFound:
    """The version at which a stream must go on.

    Parameters
    ==========

    software : str
        The version.
    source : str
        How it is known: ``'own'``, ``'only version'``, ``'store'`` or a peer's
        name.
    """

    software: str
    source: str


@dataclass(slots=True, frozen=True)
class OriginUnknown:
    """The version at which a stream must go on can't be told.

    Parameters
    ==========

    versions : tuple of str
        The versions that it may be.
    retry_after : float
        Seconds after which another host may tell; 0 if none can.
    """

    versions: tuple
    retry_after: float


@dataclass(slots=True, frozen=True)
class PeerAnswers:
    """What peers say of a stream.

    Parameters
    ==========

    software : str or None
        Version at which it began; None if none of them knows it.
    source : str
        The peer that knows it.
    witnesses : tuple of Witness
        What the peers that answered can say of the versions of the service.
    is_everyone_heard : bool
        Whether a host of each failure domain is a complete witness.
    """

    software: str | None = None
    source: str = ''
    witnesses: tuple = ()
    is_everyone_heard: bool = True


class Origins:
    """Tells at which software version a stream must go on.

    Explanation
    ===========

    Only the upstream that makes a stream's first event decides on its version.
    The host that passes this event on remembers the version, and tells keepers
    while several versions of the service are seen. With one version, nothing is
    told; that a stream of another host can only have begun there is concluded
    from a read of the registry that begins after the stream was taken up.

    Parameters
    ==========

    clock : IReactorTime
        Provides the time.
    history : SoftwareHistory
        Versions that were seen lately.
    log : function
        Writes events.

    Attributes
    ==========

    table : OriginTable
        Streams that are known here.
    on_began : function
        Called with the key of a stream of this host that is new.
    ask_peers : function
        Takes key and service; returns a coroutine of :class:`PeerAnswers`.
    ask_keepers : function
        The same, of what all keepers know at once.
    ask_reader : function
        The same, of the host that reads the store for this one; no answers if
        this host reads it itself.
    read_registry : function
        Takes seconds; returns a Deferred of the :class:`ReadResult` of a read
        of the registry that begins after this call.
    confirm : function
        Takes a service and reads which versions any host has recorded of it;
        returns a Deferred that fires when they are in the history.
    look_up : function
        Takes a key; returns a coroutine of the version of a stream that any
        host has recorded in the store, or None.
    held : dict
        Deferreds that fire when the version of a stream of this host is known,
        by key.
    is_looked_up : function
        Returns whether what hosts have recorded was read lately.
    started_at : float
        Time on the clock at which this host has started.
    """

    __slots__ = (
        'ask_keepers',
        'ask_peers',
        'ask_reader',
        'clock',
        'confirm',
        'held',
        'history',
        'is_looked_up',
        'look_up',
        'on_began',
        'read_registry',
        'started_at',
        'table',
    )

    def __init__(self, clock, history, log=silent_log):
        self.clock = clock
        self.history = history
        self.table = OriginTable(clock, log)
        self.held = {}
        self.on_began = _ignore_key
        self.ask_peers = _no_peers
        self.ask_keepers = _no_peers
        self.ask_reader = _no_peers
        self.read_registry = _read_at_once
        self.confirm = _no_record
        self.look_up = _no_stream
        self.is_looked_up = _always
        self.started_at = clock.seconds()

    def note_began(self, key, service, software, ends=None):
        """Remember the version at which a stream of this host began.

        Parameters
        ==========

        ends : float or None
            Time on the clock until which its caller waits; None if unknown.
        """
        if self.table.software(key) is None:
            self._confirm_if_incomplete(service)
        if self._remember(key, software, service, ends):
            self.on_began(key)

    async def find(self, key, service):
        """Return :class:`OriginFound` or :class:`OriginUnknown`."""
        await self._await_held(key)
        software = self.table.software(key)
        if software is not None:
            return OriginFound(software, _OWN)
        if key in self.held:
            versions = tuple(sorted(self.history.versions(service)))
            return OriginUnknown(versions, _RETRY_SECONDS)
        witnesses = ()
        if not self.history.is_mixed(service):
            answers = await self._ask_if_only(key, service)
            if answers.software is not None:
                return self._found_at(key, answers)
            witnesses = answers.witnesses
            alone = concluded_version(witnesses, is_everyone_heard=False)
            if alone is not None:
                return OriginFound(alone, _ONLY_VERSION)
        return await self._find_elsewhere(key, service, witnesses)

    def hold(self, key, known):
        """Let nobody conclude on a stream of this host that is looked into.

        Parameters
        ==========

        known : Deferred
            Fires when its version was noted, or can't be told.
        """
        self.held[key] = known
        known.addBoth(self._end_hold, key)

    def _end_hold(self, outcome, key):
        self.held.pop(key, None)
        return outcome

    def _await_held(self, key):
        """Return a Deferred that fires when a held stream is known, or late."""
        known = self.held.get(key)
        if known is None:
            return succeed(None)
        return fork_deferred(known).addTimeout(
            _HOLD_SECONDS, self.clock, onTimeoutCancel=_ignore_timeout
        )

    async def _ask_if_only(self, key, service):
        """Return :class:`PeerAnswers` where one version alone may be there.

        Explanation
        ===========

        This host may know another version late, so it, or the host that reads
        the store for it, reads the registry now. Keepers are asked meanwhile:
        the other version may be gone again.
        """
        confirming = self._confirm_if_incomplete(service)
        reading = Deferred.fromCoroutine(self._read_now(key, service))
        answers = await self.ask_keepers(key, service)
        read = await reading
        await confirming
        if answers.software is not None:
            return answers
        if read.software is not None:
            return read
        own = self.table.software(key)
        if own is not None:
            # This host was told meanwhile.
            return PeerAnswers(own, _OWN)
        witnesses = (self.witness(service), *read.witnesses, *answers.witnesses)
        return replace(answers, witnesses=witnesses)

    async def _read_now(self, key, service):
        """Return :class:`PeerAnswers` after a read of the registry."""
        answers = await self.ask_reader(key, service)
        is_read = any(witness.is_current for witness in answers.witnesses)
        if is_read or answers.software is not None:
            return answers
        result = await self.read_versions(service, _READ_SECONDS)
        own = self.witness(service, result)
        return replace(answers, witnesses=(*answers.witnesses, own))

    async def read_versions(self, service, seconds):
        """Read which versions of a service are registered, if that may tell.

        Returns
        =======

        ReadResult
            ``UNPROVEN`` without a read if several versions are known.
        """
        if self.history.is_mixed(service):
            return ReadResult.UNPROVEN
        return await self.read_registry(seconds)

    async def read_unlisted(self, service, software):
        """Read the registry if it has not listed a version of a stream here.

        Explanation
        ===========

        A peer, or the store's record of streams, may have named a version
        before this host hears of its upstreams.
        """
        if software not in self.history.listed_versions(service):
            await self.read_registry(_READ_SECONDS)

    async def _find_elsewhere(self, key, service, witnesses):
        """Look for a stream in the store and ask peers for it.

        Explanation
        ===========

        The store is read first if this host has just started, as the hosts that
        knew the stream may all have ended with it.
        """
        is_young = self._is_young()
        found = await self._look_up(key) if is_young else None
        if found is not None:
            return found
        answers = await self.ask_peers(key, service)
        if answers.software is not None:
            return self._found_at(key, answers)
        own = self.witness(service)
        concluded = _conclude([own, *witnesses, *answers.witnesses], answers)
        if isinstance(concluded, OriginUnknown) and not is_young:
            found = await self._look_up(key)
        if isinstance(concluded, OriginUnknown) and not self.is_looked_up():
            concluded = replace(concluded, retry_after=_RETRY_SECONDS)
        return found or concluded

    async def _look_up(self, key):
        """Return the :class:`OriginFound` of the store's record, or None."""
        software = await self.look_up(key)
        return None if software is None else OriginFound(software, _STORE)

    def witness(self, service, result=ReadResult.REFUSED):
        """Return what this host can say of the versions of a service.

        Parameters
        ==========

        result : ReadResult
            What came of a read of them since it was asked.
        """
        history = self.history
        is_late = result is ReadResult.UNPROVEN and history.is_in_contact()
        return Witness(
            history.versions(service),
            result is ReadResult.CURRENT,
            history.is_complete(service),
            is_late,
        )

    def review(self):
        """Forget old streams and versions."""
        self.history.review()
        self.table.forget_old()

    def _found_at(self, key, answers):
        """Return the :class:`OriginFound` of a peer that knows a stream."""
        self._remember(key, answers.software)
        return OriginFound(answers.software, answers.source)

    def _is_young(self):
        """Return whether this host has started lately."""
        return self.clock.seconds() - self.started_at < HISTORY_SECONDS

    def _remember(self, key, software, service='', ends=None):
        """Add a stream to the table; return whether this is news."""
        expires_at = self.clock.seconds() + HISTORY_SECONDS
        if ends is not None:
            expires_at = min(expires_at, ends + _SLACK_SECONDS)
        return self.table.add(key, Origin(software, service, expires_at))

    def _confirm_if_incomplete(self, service):
        """Return a Deferred that fires when the record was read, if needed."""
        history = self.history
        history.review()
        if history.in_gap or history.is_complete(service):
            return succeed(None)
        return self.confirm(service)


def build_origins(clock):
    """Return the origins of a host that is alone and sees all versions."""
    history = SoftwareHistory(clock, _always)
    history.in_gap = False
    history.followed_since = clock.seconds() - HISTORY_SECONDS
    return Origins(clock, history)


def _conclude(witnesses, answers):
    software = concluded_version(
        witnesses, is_everyone_heard=answers.is_everyone_heard
    )
    if software is not None:
        return OriginFound(software, _ONLY_VERSION)
    versions = frozenset().union(*(witness.versions for witness in witnesses))
    is_final = answers.is_everyone_heard and len(versions) > 1
    return OriginUnknown(
        tuple(sorted(versions)), 0.0 if is_final else _RETRY_SECONDS
    )


def _always():
    return True


def _ignore_timeout(*_):
    """Go on; the stream is still held."""


def _ignore_key(key):
    """Tell nobody; the default of a host that is alone."""


def _read_at_once(seconds):
    """Return a Deferred: this host sees all versions at once."""
    return succeed(ReadResult.CURRENT)


async def _no_peers(key, service):
    return PeerAnswers()


async def _no_stream(key):
    """Return None: no other host can have recorded a stream."""


def _no_record(service):
    """Read nothing: no other host can have recorded a version."""
    return succeed(None)
