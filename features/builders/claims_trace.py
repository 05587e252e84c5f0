"""Recorder of what claims do, for the specification to be held against."""

from contextlib import ExitStack, contextmanager
from unittest import mock

from features.builders import claims_random
from features.builders.claims import EntryHost, Way
from features.builders.claims_guards import without
from pollenstile.claims import Claims, ShardLog
from pollenstile.claims._digests import KIND, sequence_of
from pollenstile.pipeline._ledger import Ledger
from pollenstile.platform import Written
from pollenstile.standin._objects import Objects
from spec.trace import TraceEvent


class Recorder:
    """Events of a story, in the order in which they happen.

    Attributes
    ==========

    events : list of TraceEvent
        All of them.
    """

    def __init__(self):
        self.events = []
        self.begun = set()
        self.ended = set()
        self.opened = set()
        self.handed = set()
        self.processes = {}

    def process(self, clock):
        """Return the name of a process: a restarted host is another."""
        name = f'process-{len(self.processes) + 1}'
        return self.processes.setdefault(clock, name)

    def begin(self, host, record):
        """Note a request that is to claim its key."""
        self.begun.add(record.ident)
        self._note('begin', host=host, request=record.ident, key=record.key)

    def end(self, action, ident):
        """Note that a request ends unrun, once."""
        if ident in self.begun and ident not in self.ended:
            self.ended.add(ident)
            self._note(action, request=ident)

    def open(self, host, name, segment):
        """Note a batch that is sent for the first time."""
        if segment.batch in self.opened:
            return
        self.opened.add(segment.batch)
        steps = {'claim': [], 'release': []}
        for record in segment.records:
            steps[record.step].append(record.ident)
        self._note(
            'open',
            host=host,
            shard=name.partition('/')[0],
            place=sequence_of(name),
            append=segment.batch,
            claims=tuple(steps['claim']),
            frees=tuple(steps['release']),
        )

    def apply(self, name, batch):
        """Note a batch that the store has taken."""
        self._note(
            'apply',
            shard=name.partition('/')[0],
            place=sequence_of(name),
            append=batch,
        )

    def dispatch(self, request, attempt):
        """Note a non-idempotent call that is handed over."""
        self.handed.add(attempt)
        self._note('dispatch', request=request.ident)

    def give_back(self, request, attempt):
        """Note that such a call did not run."""
        if attempt in self.handed:
            self._note('giveback', request=request.ident)

    def crash(self, host):
        """Note the end of a host."""
        self._note('crash', host=host)

    def _note(self, action, **fields):
        self.events.append(TraceEvent(action, **fields))


def _before(kept, note):
    """Return a method that notes its call, then does what it did."""

    def method(self, *arguments, **named):
        note(self, *arguments, **named)
        return kept(self, *arguments, **named)

    return method


def _claims_notes(recorder):
    def claimed(claims, request, record, run):
        recorder.begin(recorder.process(claims.clock), record)

    def released(claims, record):
        recorder.end('refuse', record.ident)

    def refused(claims, request, unreached):
        recorder.end('refuse', request.ident)

    def repeated(claims, request, record, holder):
        recorder.end('repeat', request.ident)

    def withdrawn(log, pending, reason=''):
        if pending.is_open and pending.is_own:
            recorder.end('refuse', pending.record.ident)

    return (
        (Claims, '_claimed', claimed),
        (Claims, '_release', released),
        (Claims, '_refusal', refused),
        (Claims, '_repeated', repeated),
        (ShardLog, 'withdraw', withdrawn),
    )


def _other_notes(recorder):
    def handed(ledger, request, step, attempt, *, idempotent):
        if not idempotent:
            recorder.dispatch(request, attempt)

    def given_back(ledger, request, step, attempt):
        recorder.give_back(request, attempt)

    def killed(host):
        recorder.crash(recorder.process(host.clock))

    def put(way, kind, name, segment, if_version=None):
        if kind == KIND:
            recorder.open(recorder.process(way.clock), name, segment)

    return (
        (Ledger, 'dispatch', handed),
        (Ledger, 'give_back', given_back),
        (EntryHost, 'kill', killed),
        (Way, 'put', put),
    )


def _stored(recorder):
    kept = Objects.put

    def stored(objects, kind, name, encoded, if_version):
        outcome = kept(objects, kind, name, encoded, if_version)
        if kind == KIND and isinstance(outcome, Written):
            found = objects.found(kind, name)
            recorder.apply(name, found.value[0])
        return outcome

    return mock.patch.object(Objects, 'put', stored)


def _patches(recorder):
    patches = [_stored(recorder)]
    for owner, name, note in _claims_notes(recorder) + _other_notes(recorder):
        wrapped = _before(getattr(owner, name), note)
        patches.append(mock.patch.object(owner, name, wrapped))
    return patches


@contextmanager
def _no_guard_taken():
    yield


def record_scenario(seed, guard=''):
    """Return the events of a random story in which no claim expires.

    Parameters
    ==========

    guard : str
        Which guard of the claims is taken away; empty for none.
    """
    recorder = Recorder()
    # The specification knows no windows.
    actions = [
        action
        for action in claims_random._ACTIONS
        if action is not claims_random.RandomStory.skip_window
    ]
    with ExitStack() as stack:
        stack.enter_context(without(guard) if guard else _no_guard_taken())
        stack.enter_context(
            mock.patch.object(claims_random, '_ACTIONS', actions),
        )
        for patch in _patches(recorder):
            stack.enter_context(patch)
        claims_random.RandomStory(seed).told()
    return recorder.events
