"""Engines of uneven speed that fetch prompt parts from each other."""

from collections import Counter
from dataclasses import dataclass

from pollenstile.standin.exchanges import Head
from pollenstile.forward._parse import parse_prompt
from pollenstile.standin.crashing import NAMES, CrashingUpstreams

_WORK_SECONDS = 0.4
SLOTS = 4
_SPEEDS = (0.55, 1.2, 1.2, 1.2)
_TOKEN_SECONDS = 0.00004
_LEAST_SECONDS = 0.05
# A transfer costs a fifteenth of reading the same tokens.
_TRANSFER_SHARE = 1 / 15
# Seconds for which an engine waits for a source that does not answer.
_DEAD_SOURCE_SECONDS = 1.0
# Time that work takes, in percent of the usual time.
_SLOWDOWNS = (60, 100, 100, 130, 250)
_UNREADABLE = ('fast', '1,0', '1,0,4,0', '1,0,4,10001', '1,0,4,-5', '1,0,4,')
_MISLEADING = ('0,0,64,1', '900,900,1,10000', '0,0,0,100')
_UNREADABLE_SHARE = 0.05
_MISLEADING_SHARE = 0.1
_REFUSING_SHARE = 0.03
_UNAVAILABLE = 503
_CONFLICT = 409


@dataclass(slots=True, frozen=True)
class EngineRun:
    """One attempt of a request that an engine has begun to run."""

    request: str
    engine: str


class UnevenEngines(CrashingUpstreams):
    """Engines whose load reports state how long work takes.

    Parameters
    ==========

    world : HardLoadWorld
        Has the clock, the random generator and the stage results.

    Attributes
    ==========

    runs : list of EngineRun
        What engines have begun to run, in order.
    kept : dict
        Prompt parts that each incarnation keeps.
    fetches : Counter
        Fetches from other engines: ``fetched`` or ``dead source``.
    """

    def __init__(self, world, write):
        super().__init__(
            world.fleet.clock, write, _is_deadly, _WORK_SECONDS, SLOTS
        )
        self.world = world
        self.runs = []
        self.kept = {}
        self.fetches = Counter()
        self.first_seconds = self.read_seconds
        self.event_data = _request_of

    def read_seconds(self, process, call):
        """Return the seconds in which the prompt is fetched and read."""
        if not call.is_closed:
            request = call.headers[NAMES.attempt].decode()
            self.runs.append(EngineRun(request, process.ident))
        prompt = parse_prompt(call.headers[NAMES.prompt].decode())
        speed = _SPEEDS[int(process.ident[1:]) % len(_SPEEDS)]
        slowdown = self.world.rng.choice(_SLOWDOWNS) / 100
        kept = self.kept.setdefault(process.ident, set())
        fetching = self._fetch_seconds(call, prompt, kept)
        reading = sum(size for part, size in prompt if part not in kept)
        kept.update(part for part, _ in prompt)
        tokens = reading * _TOKEN_SECONDS
        return fetching + (_LEAST_SECONDS + tokens) * slowdown / speed

    def refusal(self, process, call):
        """Return the head for a request whose results are gone, or for some."""
        handles = call.headers.get(NAMES.results, b'').decode()
        held = map(self.world.stages.exists, filter(None, handles.split(',')))
        if not all(held):
            return Head(_CONFLICT, {NAMES.not_run: ['1']})
        if self.world.chance(_REFUSING_SHARE):
            return Head(_UNAVAILABLE, {NAMES.not_run: ['1']})
        return None

    def answer_headers(self, process, call):
        """Return the headers of an answer, with a load report."""
        headers = super().answer_headers(process, call)
        headers[NAMES.load] = [self._report(process)]
        return headers

    def _report(self, process):
        rng = self.world.rng
        if self.world.chance(_UNREADABLE_SHARE):
            return rng.choice(_UNREADABLE)
        if self.world.chance(_MISLEADING_SHARE):
            return rng.choice(_MISLEADING)
        slowdown = rng.choice(_SLOWDOWNS)
        return f'{process.running},{len(process.waiting)},{SLOTS},{slowdown}'

    def _fetch_seconds(self, call, prompt, kept):
        """Fetch what the named source keeps; return the seconds it takes."""
        named = call.headers.get(NAMES.part_source)
        if named is None:
            return 0.0
        source = self.processes.get(named.decode())
        if source is None or source.timers.is_paused:
            self.fetches['dead source'] += 1
            return _DEAD_SOURCE_SECONDS
        self.fetches['fetched'] += 1
        moved = self.kept.get(source.ident, set()) - kept
        tokens = sum(size for part, size in prompt if part in moved)
        kept.update(part for part, _ in prompt if part in moved)
        return tokens * _TOKEN_SECONDS * _TRANSFER_SHARE


def _request_of(process, call):
    """Return the identifier of the request that an event answers."""
    return call.headers[NAMES.attempt]


def _is_deadly(body):
    """Return False: no request crashes an engine."""
    return False
