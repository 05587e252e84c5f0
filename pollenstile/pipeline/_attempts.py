"""Attempts of one stage that are in flight."""

from functools import partial

from pollenstile.limits import CANCELLED
from pollenstile.pipeline import events
from pollenstile.pipeline._learning import learn_slow
from pollenstile.routing import Hints, cache_key
from pollenstile.upstream import Call, Lost

_MS = 1000


class Attempt:
    """One call in flight.

    Parameters
    ==========

    number : int
        From 1, within its stage.
    ident : str
        Unique over all requests; what comes back must carry it.
    choice : Choice
        The upstream that has it.
    started : float
        On the clock, in seconds.

    Attributes
    ==========

    heard : float
        When its last chunk came, on the clock, in seconds.
    """

    __slots__ = (
        'cancel',
        'choice',
        'cost',
        'heard',
        'ident',
        'number',
        'progress',
        'started',
        'timer',
    )

    def __init__(self, number, ident, choice, started):
        self.number = number
        self.ident = ident
        self.heard = started
        self.choice = choice
        self.started = started
        self.timer = None
        self.cancel = None
        self.progress = False
        self.cost = 0.0


class Attempts:
    """Calls of one stage: sent, in flight, and what they cost.

    Parameters
    ==========

    core : Core
        What the host offers.
    request : Request
        The request that the stage belongs to.
    stage : Stage
        As declared.
    content : object
        The stage's input.
    """

    __slots__ = (
        'cache_key',
        'content',
        'core',
        'cost',
        'live',
        'may_have_run',
        'number',
        'pool',
        'request',
        'stage',
        'tried',
    )

    def __init__(self, core, request, stage, content):
        self.core = core
        self.request = request
        self.stage = stage
        self.content = content
        self.pool = request.snapshot.manifest.pools[stage.pool]
        self.live = {}
        self.tried = []
        self.number = 0
        self.cost = 0
        self.may_have_run = False
        self.cache_key = 0
        if self.pool.kind == 'engine':
            self.cache_key = cache_key(
                request.team,
                stage.model,
                request.content,
            )

    def choice(self):
        """Return the upstream for the next attempt, None when there is none.

        Explanation
        ===========

        One that was not tried yet is preferred; when all were tried and none
        is at work, any may be tried again.
        """
        found = self._chosen(self.tried)
        if found is None and self.tried and not self.live:
            return self._chosen(())
        return found

    def send(self, choice, why, timeout, assembly, sink):
        """Hand a new attempt to the transport.

        Parameters
        ==========

        choice : Choice
            Where it goes.
        why : str
            For the log.
        timeout : float
            Seconds until the attempt counts as lost.
        assembly : Assembly
            Tokens that came already.
        sink : function
            Takes the attempt and each event of it.
        """
        self.number += 1
        clock = self.core.clock
        ident = f'{self.request.ident}/{self.stage.name}/{self.number}'
        attempt = Attempt(self.number, ident, choice, clock.seconds())
        self.live[attempt.number] = attempt
        self.tried.append(choice.name)
        self._log_route(attempt, why)
        self.core.ledger.dispatch(
            self.request,
            self.stage.name,
            attempt.ident,
            idempotent=self.stage.idempotent,
        )
        self.core.tracker.started(choice.name)
        attempt.timer = clock.callLater(
            timeout,
            sink,
            attempt,
            Lost('timeout'),
        )
        attempt.cancel = self.core.transport(
            choice.name,
            choice.upstream,
            self._call(attempt, timeout, assembly),
            partial(sink, attempt),
        )

    def release(self, attempt, load=None, *, failed=False, worked=0):
        """Note that an attempt has ended.

        Parameters
        ==========

        load : Load or None
            The report that came with its end.
        failed : bool
            Whether that is a sign against the upstream.
        worked : float
            Seconds that the upstream says it worked; 0 when it does not.
        """
        self.live.pop(attempt.number, None)
        if attempt.timer.active():
            attempt.timer.cancel()
        self.core.tracker.ended(attempt.choice.name, load, failed=failed)
        cost = (worked or self.took(attempt)) * self.pool.cost
        attempt.cost = cost
        self.cost += cost

    def took(self, attempt):
        """Return seconds since an attempt was sent."""
        return self.core.clock.seconds() - attempt.started

    def charge(self, attempt, kind):
        """Enter an attempt's cost in the accounts of stage and team."""
        self.core.costs.add(
            self.stage.name,
            self.request.team,
            kind,
            attempt.cost,
        )

    def give_back(self, attempt):
        """Note that an attempt is known not to have run."""
        self.cost -= attempt.cost
        self.core.ledger.give_back(
            self.request,
            self.stage.name,
            attempt.ident,
        )

    def drop(self, attempt):
        """Cancel an attempt that nobody waits for any more."""
        learn_slow(self, attempt)
        self.release(attempt)
        self.charge(attempt, CANCELLED)
        self.core.count('attempt.cancelled')
        self.cut(attempt)

    def cut(self, attempt):
        """Close the connection of an attempt that may have run."""
        self.may_have_run = True
        self.core.ledger.cut(self.request, attempt.ident)
        if attempt.cancel is not None:
            attempt.cancel()

    def drop_all(self, kept=None):
        """Cancel all attempts in flight, but one that is kept."""
        for attempt in list(self.live.values()):
            if attempt is kept:
                continue
            self.drop(attempt)

    def _chosen(self, excluded):
        return self.core.choose(
            self.pool,
            self.core.tracker,
            self.core.domain,
            self.core.rng,
            excluded,
            self._hints(),
        )

    def _hints(self):
        return Hints(
            self.core.concurrency.slowness,
            self.core.concurrency.is_over,
            self.cache_key,
            self._holds if self.stage.model else None,
        )

    def _holds(self, name):
        return self.core.holds(name, self.stage.model)

    def _call(self, attempt, timeout, assembly):
        return Call(
            attempt=attempt.ident,
            step=self.stage.name,
            kind=self.pool.kind,
            content=self.content,
            timeout_ms=max(1, int(timeout * _MS)),
            team=self.request.team,
            urgency=self.request.pipeline.urgency,
            model=self.stage.model,
            max_tokens=self.stage.max_tokens,
            idempotent=self.stage.idempotent,
            key=self.request.key,
            offset=assembly.length(),
            text=assembly.text(),
        )

    def _log_route(self, attempt, why):
        self.core.log(
            events.ROUTED,
            request=self.request.ident,
            step=self.stage.name,
            attempt=attempt.number,
            peer=attempt.choice.name,
            domain=attempt.choice.upstream.domain,
            busyness=round(attempt.choice.busyness, 2),
            candidates=attempt.choice.candidates,
            why=why,
        )
