"""Sends and tracks the attempts of one stage."""

from functools import partial

from pollenstile.limits import CANCELLED
from pollenstile.ops.timers import cancel_timer
from pollenstile.pipeline import events
from pollenstile.pipeline._learning import record_slow_attempt
from pollenstile.pipeline._stagepermissions import StagePermissions
from pollenstile.routing import Hints, cache_key
from pollenstile.upstream import Call

_MS = 1000


def _never(name):
    """Return False: no upstream is barred."""
    return False


class Attempt:
    """One call to an upstream.

    Parameters
    ==========

    number : int
        Number within its stage, from 1.
    ident : str
        Unique over all requests; replies and chunks must carry it.
    choice : Choice
        The upstream that the call is sent to.
    started : float
        Time at which it was sent, on the clock, in seconds.

    Attributes
    ==========

    limit : float
        Seconds without a sign of it after which it counts as silent. It goes
        on then, and another attempt may be started beside it.
    heard_at : float
        Time of its start or its last chunk, on the clock, in seconds.
    is_silent : bool
        Whether it has reached its limit, and nothing has arrived since.
    was_silent : bool
        Whether it has ever reached its limit.
    has_output : bool
        Whether a chunk has arrived.
    """

    __slots__ = (
        'cancel',
        'choice',
        'cost',
        'has_output',
        'heard_at',
        'ident',
        'is_silent',
        'limit',
        'number',
        'started',
        'timer',
        'was_silent',
    )

    def __init__(self, number, ident, choice, started):
        self.number = number
        self.ident = ident
        self.heard_at = started
        self.is_silent = False
        self.was_silent = False
        self.limit = 0.0
        self.choice = choice
        self.started = started
        self.timer = None
        self.cancel = None
        self.has_output = False
        self.cost = 0.0


class Attempts:
    """Attempts of one stage: sent, in flight, and their cost.

    Parameters
    ==========

    core : Core
        Components of the host.
    request : Request
        The request that the stage belongs to.
    stage : Stage
        The stage's declaration.
    content : object
        The stage's input.

    Attributes
    ==========

    permissions : StagePermissions
        Which upstreams may be called, by what they state.
    in_flight : dict
        Maps numbers of attempts to attempts that have not ended.
    tried : list of str
        Upstreams that got an attempt.
    number : int
        Number of attempts sent.
    may_have_run : bool
        Whether any ended attempt may have run.
    """

    __slots__ = (
        'cache_key',
        'content',
        'core',
        'cost',
        'in_flight',
        'may_have_run',
        'number',
        'permissions',
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
        self.permissions = StagePermissions(
            core.permissions, stage.pool, self.pool, self._serves_model
        )
        self.in_flight = {}
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

    def select_upstream(self):
        """Return the upstream for the next attempt, None if there is none.

        Explanation
        ===========

        An upstream that was not tried yet is preferred. If all were tried and
        no attempt is in flight, any upstream may be tried again.
        """
        self.permissions.want_tokens(self.request.ident)
        choice = self.choose(self.tried)
        if choice is None and self.tried and not self.in_flight:
            return self.choose(())
        return choice

    def choose(self, excluded, is_barred=_never):
        """Return an upstream that may be called, or None.

        Parameters
        ==========

        excluded : collection of str
            Upstreams that are not chosen.
        is_barred : function
            Takes the name of an upstream; returns whether it is not chosen.
        """

        def is_eligible(name):
            return self._is_eligible(name) and not is_barred(name)

        return self.core.choose(
            self.pool,
            self.core.tracker,
            self.core.domain,
            self.core.rng,
            excluded,
            Hints(
                self.core.concurrency.slowness,
                self.core.concurrency.is_over,
                self.cache_key,
                is_eligible,
            ),
        )

    def add(self, choice, why):
        """Record and return a new attempt, which is not sent yet.

        Parameters
        ==========

        choice : Choice
            The upstream to send it to.
        why : str
            Reason for the log: first, retry, hedge or beside.
        """
        self.number += 1
        ident = f'{self.request.ident}/{self.stage.name}/{self.number}'
        now = self.core.clock.seconds()
        attempt = Attempt(self.number, ident, choice, now)
        self.in_flight[attempt.number] = attempt
        self.tried.append(choice.name)
        self.permissions.note_called(choice.name, ident)
        self._log_route(attempt, why)
        self.core.ledger.dispatch(
            self.request,
            self.stage.name,
            attempt.ident,
            idempotent=self.stage.idempotent,
        )
        self.core.tracker.started(choice.name)
        return attempt

    def send(self, attempt, timeout, assembly, sink):
        """Hand an attempt to the transport.

        Parameters
        ==========

        attempt : Attempt
            Has its timer already.
        timeout : float
            Seconds until the stage's deadline.
        assembly : Assembly
            Tokens that have arrived already.
        sink : function
            Takes the attempt and each of its events.
        """
        attempt.cancel = self.core.transport(
            attempt.choice.name,
            attempt.choice.upstream,
            self._build_call(attempt, timeout, assembly),
            partial(sink, attempt),
        )

    def release(self, attempt, load=None, *, failed=False, busy_seconds=0):
        """Record that an attempt has ended.

        Parameters
        ==========

        load : Load or None
            The load report that was part of the upstream's answer.
        failed : bool
            Whether it counts as a failure of the upstream.
        busy_seconds : float
            Processing time that the upstream reports; 0 if it reports none.
        """
        self.in_flight.pop(attempt.number, None)
        cancel_timer(attempt.timer)
        if attempt.is_silent:
            self.core.tracker.ended_silent(attempt.choice.name)
        else:
            self.core.tracker.ended(attempt.choice.name, load, failed=failed)
        cost = (busy_seconds or self.elapsed_seconds(attempt)) * self.pool.cost
        attempt.cost = cost
        self.cost += cost

    def elapsed_seconds(self, attempt):
        """Return seconds since an attempt was sent."""
        return self.core.clock.seconds() - attempt.started

    def charge(self, attempt, kind):
        """Add an attempt's cost to the account of its stage and team."""
        self.core.costs.add(
            self.stage.name,
            self.request.team,
            kind,
            attempt.cost,
        )

    def give_back(self, attempt):
        """Record that an attempt is known not to have run."""
        self.cost -= attempt.cost
        self.core.ledger.give_back(
            self.request,
            self.stage.name,
            attempt.ident,
        )

    def drop(self, attempt):
        """Cancel an attempt whose result is no longer needed."""
        if not attempt.is_silent:
            record_slow_attempt(self, attempt)
        self.release(attempt)
        self.charge(attempt, CANCELLED)
        self.core.count('attempt.cancelled')
        self.abandon(attempt)

    def abandon(self, attempt):
        """Close the connection of an attempt that may have run."""
        self.may_have_run = True
        self.core.ledger.abandon(self.request, attempt.ident)
        if attempt.cancel is not None:
            attempt.cancel()

    def drop_all(self, kept=None):
        """Cancel all attempts in flight except ``kept``."""
        for attempt in list(self.in_flight.values()):
            if attempt is kept:
                continue
            self.drop(attempt)

    def _is_connection_in_doubt(self):
        # The pooled connections of a path may all be dead when one is.
        is_any_silent = any(one.is_silent for one in self.in_flight.values())
        return is_any_silent or self.may_have_run

    def _is_eligible(self, name):
        return self._serves_model(name) and self.permissions.may_call(name)

    def _serves_model(self, name):
        model = self.stage.model
        return not model or self.core.holds(name, model)

    def _build_call(self, attempt, timeout, assembly):
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
            fresh=self._is_connection_in_doubt(),
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
