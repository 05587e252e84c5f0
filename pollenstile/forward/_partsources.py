"""Sources of shared prompt parts for the engines that requests are sent to."""

from collections import Counter

from pollenstile.forward._selection import (
    LARGE_SERVICE_ENGINES,
    no_transfer,
    subject_of,
)
from pollenstile.promptparts import (
    EngineHistory,
    has_transferable_parts,
    home_engine,
    is_worthwhile,
    part_source,
    reachable_engines,
    transfer_cost_seconds,
)


class PartSources:
    """Finds the engine that keeps the shared parts of a request's prompt.

    Parameters
    ==========

    clock : IReactorTime
        Provides the time.
    registry : Registry
        Known upstreams.
    first_tokens : FirstTokens
        Estimates the time to read a token.

    Attributes
    ==========

    history : EngineHistory
        Engines that have joined or left lately.
    named : Counter
        Number of attempts that named a source, by reason.
    has_lost_path : function
        Takes an address; returns whether only peers reach it.
    """

    __slots__ = (
        'clock',
        'first_tokens',
        'has_lost_path',
        'history',
        'named',
        'registry',
    )

    def __init__(self, clock, registry, first_tokens):
        self.clock = clock
        self.registry = registry
        self.first_tokens = first_tokens
        self.history = EngineHistory(clock)
        self.named = Counter()
        self.has_lost_path = _never
        registry.listeners.append(self._note_engines)
        self._note_engines()

    def take(self, exchange, view):
        """Return the source that an attempt names, or None; count it.

        Explanation
        ===========

        A source that does not answer may be what lets an attempt fail. So only
        one attempt of a request names a source.

        Parameters
        ==========

        view : UpstreamView
            The engine that the attempt is sent to.

        Returns
        =======

        PartSource or None
        """
        if self._transfer(exchange) is None:
            return None
        current, former = self._reachable(exchange.service, view.software)
        subject = subject_of(exchange.prompt, self._engines(exchange))
        source = part_source(view, subject, current, former)
        if source is not None:
            exchange.may_fetch = False
            self.named[source.reason] += 1
        return source

    def transfer_seconds(self, exchange):
        """Return the function of that name for the choice of an engine."""
        transfer = self._transfer(exchange)
        if transfer is None:
            return no_transfer
        subject = subject_of(exchange.prompt, self._engines(exchange))
        homes = {}

        def seconds(view, tokens):
            software = view.software
            if software not in homes:
                current, _ = self._reachable(exchange.service, software)
                homes[software] = home_engine(current, subject)
            if homes[software] is None or homes[software] is view:
                return None
            return transfer_cost_seconds(transfer, tokens)

        return seconds

    def _transfer(self, exchange):
        """Return how a request's parts are moved; None if they aren't."""
        if not exchange.may_fetch:
            return None
        if not has_transferable_parts(exchange.prompt):
            return None
        if self._engines(exchange) < LARGE_SERVICE_ENGINES:
            return None
        service = exchange.table.services.get(exchange.service)
        if service is None or service.part_transfer is None:
            return None
        token_seconds = self.first_tokens.token_seconds(exchange.service)
        if not is_worthwhile(service.part_transfer, token_seconds):
            return None
        return service.part_transfer

    def _engines(self, exchange):
        return len(self.registry.usable(exchange.service))

    def _reachable(self, service, software):
        """Return the reachable engines of a version, now and formerly.

        Explanation
        ===========

        It is not known whether software versions understand each other's
        parts, so an engine fetches only from one of its own version.
        """
        listed = [
            view
            for view in self.history.engines(service)
            if self.registry.views.get(view.ident) is view
        ]
        now = self.clock.seconds()
        reachable = {
            view.ident: view
            for view in reachable_engines(listed, now, self.has_lost_path)
            if view.software == software
        }
        return (
            _those_in(self.registry.usable(service), reachable),
            _those_in(self.history.former(service), reachable),
        )

    def _note_engines(self):
        self.history.update(
            self.registry.by_service, is_complete=self.registry.known
        )


def _those_in(views, reachable):
    """Return those of some views whose incarnation can be reached."""
    return [view for view in views if reachable.get(view.ident) is view]


def _never(address):
    """Return False: a host without peers reaches each upstream itself."""
    return False
