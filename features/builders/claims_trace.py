"""Records events of claims, to be checked against the specification."""

from contextlib import ExitStack, contextmanager
from unittest import mock

from features.builders import claims_random
from features.builders.claims import EntryHost, StoreLink
from features.builders.claims_guards import without
from pollenstile.claims import Claims, ShardLog
from pollenstile.claims._digests import KIND, parse_sequence
from pollenstile.pipeline._ledger import Ledger
from pollenstile.platform import Written
from pollenstile.standin._objects import Objects
from spec.trace import TraceEvent


class Recorder:
    """Events of a scenario, in the order in which they occur.

    Attributes
    ==========

    events : list of TraceEvent
        Recorded events.
    """

    def __init__(self):
        self.events = []
        self.begun = set()
        self.ended = set()
        self.opened = set()
        self.dispatched = set()
        self.processes = {}

    def process(self, clock):
        """Return the name of a process; a restarted host is a new process."""
        name = f'process-{len(self.processes) + 1}'
        return self.processes.setdefault(clock, name)

    def begin(self, host, record):
        """Record a request that starts to claim its key."""
        self.begun.add(record.ident)
        self._add('begin', host=host, request=record.ident, key=record.key)

    def end(self, action, ident):
        """Record once that a request ends without a run."""
        if ident in self.begun and ident not in self.ended:
            self.ended.add(ident)
            self._add(action, request=ident)

    def open(self, host, name, segment):
        """Record a batch when it is sent for the first time."""
        if segment.batch in self.opened:
            return
        self.opened.add(segment.batch)
        steps = {'claim': [], 'release': []}
        for record in segment.records:
            steps[record.step].append(record.ident)
        self._add(
            'open',
            host=host,
            shard=name.partition('/')[0],
            position=parse_sequence(name),
            append=segment.batch,
            claims=tuple(steps['claim']),
            frees=tuple(steps['release']),
        )

    def apply(self, name, batch):
        """Record a batch that the store has applied."""
        self._add(
            'apply',
            shard=name.partition('/')[0],
            position=parse_sequence(name),
            append=batch,
        )

    def dispatch(self, request, attempt):
        """Record that a non-idempotent call is dispatched."""
        self.dispatched.add(attempt)
        self._add('dispatch', request=request.ident)

    def give_back(self, request, attempt):
        """Record that a dispatched non-idempotent call did not run."""
        if attempt in self.dispatched:
            self._add('giveback', request=request.ident)

    def crash(self, host):
        """Record the crash of a host."""
        self._add('crash', host=host)

    def _add(self, action, **fields):
        self.events.append(TraceEvent(action, **fields))


def _recording(original, record_call):
    """Return a method that records its call, then calls the original."""

    def method(self, *arguments, **named):
        record_call(self, *arguments, **named)
        return original(self, *arguments, **named)

    return method


def _claims_hooks(recorder):
    def claimed(claims, request, record, run):
        recorder.begin(recorder.process(claims.clock), record)

    def released(claims, record):
        recorder.end('refuse', record.ident)

    def refused(claims, request, unreached):
        recorder.end('refuse', request.ident)

    def repeated(claims, request, record, holder):
        recorder.end('repeat', request.ident)

    def withdrawn(log, pending, reason=''):
        if pending.is_awaited and pending.is_own:
            recorder.end('refuse', pending.record.ident)

    return (
        (Claims, '_claim_and_run', claimed),
        (Claims, '_release', released),
        (Claims, '_refuse_unclaimed', refused),
        (Claims, '_answer_repeat', repeated),
        (ShardLog, 'withdraw', withdrawn),
    )


def _other_hooks(recorder):
    def dispatched(ledger, request, step, attempt, *, idempotent):
        if not idempotent:
            recorder.dispatch(request, attempt)

    def given_back(ledger, request, step, attempt):
        recorder.give_back(request, attempt)

    def killed(host):
        recorder.crash(recorder.process(host.clock))

    def put(store_link, kind, name, segment, if_version=None):
        if kind == KIND:
            recorder.open(recorder.process(store_link.clock), name, segment)

    return (
        (Ledger, 'dispatch', dispatched),
        (Ledger, 'give_back', given_back),
        (EntryHost, 'kill', killed),
        (StoreLink, 'put', put),
    )


def _record_stored(recorder):
    original = Objects.put

    def stored(objects, kind, name, encoded, if_version):
        outcome = original(objects, kind, name, encoded, if_version)
        if kind == KIND and isinstance(outcome, Written):
            found = objects.found(kind, name)
            recorder.apply(name, found.value[0])
        return outcome

    return mock.patch.object(Objects, 'put', stored)


def _patches(recorder):
    patches = [_record_stored(recorder)]
    for owner, name, hook in _claims_hooks(recorder) + _other_hooks(recorder):
        wrapped = _recording(getattr(owner, name), hook)
        patches.append(mock.patch.object(owner, name, wrapped))
    return patches


@contextmanager
def _all_guards():
    yield


def record_scenario(seed, guard=''):
    """Return the events of a random scenario in which no claim expires.

    Parameters
    ==========

    guard : str
        The guard of the claims to disable; empty for none.
    """
    recorder = Recorder()
    # The specification does not model the expiry of claims.
    actions = [
        action
        for action in claims_random._ACTIONS
        if action is not claims_random.RandomScenario.skip_window
    ]
    with ExitStack() as stack:
        stack.enter_context(without(guard) if guard else _all_guards())
        stack.enter_context(
            mock.patch.object(claims_random, '_ACTIONS', actions),
        )
        for patch in _patches(recorder):
            stack.enter_context(patch)
        claims_random.RandomScenario(seed).run()
    return recorder.events
