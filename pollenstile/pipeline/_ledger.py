"""Run-time checks of the invariants of requests."""

from pollenstile.pipeline.events import INVARIANT_BROKEN


class RequestRecord:
    """Recorded attempts and results of one open request.

    Attributes
    ==========

    dispatched : set of str
        Attempts that were handed to the transport.
    abandoned : set of str
        Attempts whose result is no longer awaited.
    returned : set of str
        Attempts that are known not to have run.
    consumed : set of str
        Stages that have a result.
    handed_over : set of str
        Non-idempotent stages with an attempt that may have run.
    """

    __slots__ = (
        'abandoned',
        'consumed',
        'dispatched',
        'handed_over',
        'returned',
    )

    def __init__(self):
        self.dispatched = set()
        self.abandoned = set()
        self.returned = set()
        self.consumed = set()
        self.handed_over = set()


class Ledger:
    """Checks invariants of open requests.

    Explanation
    ===========

    - Each accepted request has exactly one final outcome.
    - Each stage's result is consumed once, by its own request, and never from
      an abandoned attempt.
    - An answer that this host computed has a result of every stage.
    - *Not run* is reported only if every dispatched attempt is known not to
      have run.
    - A non-idempotent stage is dispatched once, unless the attempt before is
      known not to have run.

    A violation is logged and counted. The request continues, because a
    refusal at that point could be false as well.

    Parameters
    ==========

    log : function
        Logs an event.
    count : function
        Takes a metric's name.

    Attributes
    ==========

    open : dict
        Maps the identifier of an open request to its record.
    broken : list of tuple
        Name of the invariant and identifier of the request, by violation.
    """

    __slots__ = ('broken', 'count', 'log', 'open')

    def __init__(self, log, count):
        self.log = log
        self.count = count
        self.open = {}
        self.broken = []

    def accept(self, request):
        """Record an accepted request."""
        if request.ident in self.open:
            self._report_violation('accepted-twice', request.ident)
        self.open[request.ident] = RequestRecord()

    def dispatch(self, request, step, attempt, *, idempotent):
        """Record that an attempt is about to be handed to the transport."""
        record = self._find_record(request, 'dispatch-after-outcome')
        if record is None:
            return
        record.dispatched.add(attempt)
        if idempotent:
            return
        if step in record.handed_over:
            self._report_violation(
                'handed-over-twice', request.ident, step=step
            )
        record.handed_over.add(step)

    def give_back(self, request, step, attempt):
        """Record that an attempt is known not to have run."""
        record = self.open.get(request.ident)
        if record is None:
            return
        record.returned.add(attempt)
        record.handed_over.discard(step)

    def abandon(self, request, attempt):
        """Record that the result of an attempt is no longer awaited."""
        record = self.open.get(request.ident)
        if record is not None:
            record.abandoned.add(attempt)

    def sent(self, request):
        """Return what was sent for an open request and may have run.

        Returns
        =======

        str
            ``'nothing'``, ``'idempotent'`` if only idempotent stages, or
            ``'once'``.
        """
        record = self.open[request.ident]
        if record.handed_over:
            return 'once'
        may_have_run = record.dispatched - record.returned
        return 'idempotent' if may_have_run else 'nothing'

    def consume(self, request, step, attempt):
        """Record that an attempt's result is used as the stage's result."""
        record = self._find_record(request, 'consumed-after-outcome')
        if record is None:
            return
        if attempt not in record.dispatched:
            self._report_violation('foreign-result', request.ident, step=step)
        if attempt in record.abandoned:
            self._report_violation(
                'consumed-after-cut', request.ident, step=step
            )
        if step in record.consumed:
            self._report_violation('consumed-twice', request.ident, step=step)
        record.consumed.add(step)

    def finish(self, request, outcome):
        """Record a request's final outcome."""
        record = self.open.pop(request.ident, None)
        if record is None:
            self._report_violation(
                'two-outcomes', request.ident, outcome=outcome.tag
            )
            return
        if outcome.tag == 'not-run' and record.dispatched - record.returned:
            self._report_violation('not-run-but-dispatched', request.ident)
        # A repeated request that gets an earlier run's answer has no attempts.
        if outcome.tag == 'answered' and record.dispatched:
            self._check_stages(request, record)

    def crash(self, request):
        """Record that an unexpected exception ended a request."""
        self.open.pop(request.ident, None)
        self._report_violation('no-outcome', request.ident)

    def _check_stages(self, request, record):
        for stage in request.pipeline.stages:
            if stage.name not in record.consumed:
                self._report_violation('answer-incomplete', request.ident)

    def _find_record(self, request, name):
        record = self.open.get(request.ident)
        if record is None:
            self._report_violation(name, request.ident)
        return record

    def _report_violation(self, name, ident, **fields):
        self.broken.append((name, ident))
        self.count('invariant.broken')
        self.log(
            INVARIANT_BROKEN,
            level='error',
            invariant=name,
            request=ident,
            **fields,
        )
