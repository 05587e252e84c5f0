"""Invariants that are asserted while the program runs."""

from pollenstile.pipeline.events import INVARIANT_BROKEN


class Entry:
    """What was seen of one request."""

    __slots__ = ('consumed', 'cut', 'dispatched', 'handed', 'returned')

    def __init__(self):
        self.dispatched = set()
        self.cut = set()
        self.returned = set()
        self.consumed = set()
        self.handed = set()


class Ledger:
    """Open requests and what must hold for each.

    Explanation
    ===========

    Each accepted request has one final outcome. Each stage's result is
    consumed once, by its own request, and never from an attempt that was cut.
    An answer made here has a result of every stage. *Not run* is said only
    when every dispatched attempt was returned unrun. A non-idempotent stage
    is handed over once unless the attempt before it was returned unrun. A
    broken invariant is logged and counted; the request goes on, because a
    refusal after the fact would not be truthful either.

    Parameters
    ==========

    log : function
        Writes events.
    count : function
        Takes a metric's name.
    """

    __slots__ = ('broken', 'count', 'log', 'open')

    def __init__(self, log, count):
        self.log = log
        self.count = count
        self.open = {}
        self.broken = []

    def accept(self, request):
        """Note a request that was accepted."""
        if request.ident in self.open:
            self._break('accepted-twice', request.ident)
        self.open[request.ident] = Entry()

    def dispatch(self, request, step, attempt, *, idempotent):
        """Note that an attempt is about to be handed to a transport."""
        entry = self._entry(request, 'dispatch-after-outcome')
        if entry is None:
            return
        entry.dispatched.add(attempt)
        if idempotent:
            return
        if step in entry.handed:
            self._break('handed-over-twice', request.ident, step=step)
        entry.handed.add(step)

    def give_back(self, request, step, attempt):
        """Note that an attempt is known not to have run."""
        entry = self.open.get(request.ident)
        if entry is None:
            return
        entry.returned.add(attempt)
        entry.handed.discard(step)

    def cut(self, request, attempt):
        """Note that nobody waits for an attempt any more."""
        entry = self.open.get(request.ident)
        if entry is not None:
            entry.cut.add(attempt)

    def consume(self, request, step, attempt):
        """Note that an attempt's result is the stage's result."""
        entry = self._entry(request, 'consumed-after-outcome')
        if entry is None:
            return
        if attempt not in entry.dispatched:
            self._break('foreign-result', request.ident, step=step)
        if attempt in entry.cut:
            self._break('consumed-after-cut', request.ident, step=step)
        if step in entry.consumed:
            self._break('consumed-twice', request.ident, step=step)
        entry.consumed.add(step)

    def finish(self, request, outcome):
        """Note a request's final outcome."""
        entry = self.open.pop(request.ident, None)
        if entry is None:
            self._break('two-outcomes', request.ident, outcome=outcome.tag)
            return
        if outcome.tag == 'not-run' and entry.dispatched - entry.returned:
            self._break('not-run-but-dispatched', request.ident)
        # A repeat that gets the answer of an earlier run dispatches nothing.
        if outcome.tag == 'answered' and entry.dispatched:
            self._check_stages(request, entry)

    def crash(self, request):
        """Note that a fault of the program ended a request."""
        self.open.pop(request.ident, None)
        self._break('no-outcome', request.ident)

    def _check_stages(self, request, entry):
        for stage in request.pipeline.stages:
            if stage.name not in entry.consumed:
                self._break('answer-incomplete', request.ident)

    def _entry(self, request, name):
        entry = self.open.get(request.ident)
        if entry is None:
            self._break(name, request.ident)
        return entry

    def _break(self, name, ident, **fields):
        self.broken.append((name, ident))
        self.count('invariant.broken')
        self.log(
            INVARIANT_BROKEN,
            level='error',
            invariant=name,
            request=ident,
            **fields,
        )
