"""Simulate entry hosts over upstreams that fall silent and go on."""

from collections import Counter
from dataclasses import dataclass

from pollenstile.bench._crashworld import RETRY_SLACK
from pollenstile.bench._domainworld import DomainWorld
from pollenstile.bench._seededworld import SeededWorld
from pollenstile.bench._streamcallers import (
    DEADLINE_SECONDS,
    StreamCaller,
    TryAnswer,
)
from pollenstile.bench._streamtries import (
    AIM_SECONDS,
    SERVICE,
    serve_try,
    serving_hosts,
)
from pollenstile.routes import Kind, Route, Target
from pollenstile.standin.crashing import EVENT_GAP_SECONDS, NAMES

# Run time of a stream of 20 events, and of a whole answer.
_STREAM_SECONDS = 2.0
_ANSWER_SECONDS = 0.5
# Longest time between two events of a stream that is in time.
_PAUSE_SECONDS = 0.6
# Retries that all hosts may send in a window: a share of its requests, and some
# more.
_RATIO = 0.1
_WINDOW_SECONDS = 10.0
_IDENT_BITS = 64
# Time without an event after which a caller leaves a stream, as a multiple of
# the target latency and of the pause, and its minimum.
_LEAVE_AIMS = 4
_LEAVE_PAUSES = 8
_MIN_LEAVE_SECONDS = 2.0
# Seconds between two looks whether all callers have ended.
_IDLE_STEP_SECONDS = 0.25
_LEAVE_SECONDS = max(
    _MIN_LEAVE_SECONDS,
    _LEAVE_AIMS * AIM_SECONDS,
    _LEAVE_PAUSES * _PAUSE_SECONDS,
)


def _route(kind, attempts=1, *, resumable=False):
    """Return a route to the simulated service."""
    return Route(
        'silences',
        'host',
        '/a/',
        kind,
        DEADLINE_SECONDS,
        AIM_SECONDS,
        targets=(Target(SERVICE),),
        attempts=attempts,
        resumable=resumable,
        pause=_PAUSE_SECONDS if kind is Kind.STREAM else 0.0,
    )


ROUTES = {
    'resumable, two attempts': _route(Kind.STREAM, 2, resumable=True),
    'resumable, one attempt': _route(Kind.STREAM, resumable=True),
    'stream, not resumable': _route(Kind.STREAM),
    'once': _route(Kind.ONCE),
    'idempotent, two attempts': _route(Kind.IDEMPOTENT, 2),
}


@dataclass(slots=True, frozen=True)
class Silence:
    """How upstreams fall silent.

    Parameters
    ==========

    share : float
        Part of the upstreams that stands still.
    seconds : float
        Time for which they do; infinite for good.
    connections : float
        Rate at which single connections fall silent for good, a second and
        upstream.
    """

    share: float = 0.0
    seconds: float = 0.0
    connections: float = 0.0


class TimedAnswer(TryAnswer):
    """Answer to a try, with the time of each part.

    Attributes
    ==========

    began : float
        Time on the clock of the try.
    times : list of float
        Times on the clock at which parts came.
    """

    def __init__(self, on_end, now):
        super().__init__(on_end)
        self.now = now
        self.began = now()
        self.times = []

    def write(self, data):
        """Append a part of the body."""
        if not self.gone:
            self.times.append(self.now())
        super().write(data)

    def leave(self):
        """Close the caller's end of the connection."""
        self.end = 'left'
        self._report()
        self.work.cancel()


class SilenceCaller(StreamCaller):
    """A caller that notes when its events come.

    Attributes
    ==========

    began : float
        Time on the clock of its first try.
    """

    __slots__ = ('began',)

    def __init__(self, world, ident, body):
        super().__init__(world, ident, body)
        self.began = world.now()
        # Others can't be taken up, or run again.
        if not world.route.repeatable:
            self.tries = 1

    def new_answer(self):
        """Return the answer of the next try, before it begins."""
        return TimedAnswer(self._on_end, self.world.now)

    def send(self):
        """Send the next try, and watch its gaps."""
        super().send()
        if self.world.route.kind is Kind.STREAM and self.answers:
            answer = self.answers[-1]
            self.world.later(_LEAVE_SECONDS, self._leave_silent, answer)

    def _leave_silent(self, answer):
        """Leave a stream that has brought nothing for too long."""
        if answer.end:
            return
        heard_at = answer.times[-1] if answer.times else answer.began
        left = heard_at + _LEAVE_SECONDS - self.world.now()
        if left > 0:
            self.world.later(left, self._leave_silent, answer)
            return
        answer.leave()

    def is_whole(self):
        """Return whether the last try was answered to the end."""
        return self.answers[-1].end == 'whole'

    def has_ended(self):
        """Return whether the caller has all it wants or has given up."""
        if self.world.now() > self.ends:
            return True
        if not self.answers[-1].end:
            return False
        return self.is_whole() or len(self.answers) >= self.tries

    def times(self):
        """Return the times of the parts of all tries."""
        return [moment for answer in self.answers for moment in answer.times]

    def missing(self):
        """Return the number of events that are lacking from a whole answer."""
        if not self.is_whole():
            return 0
        expected = range(1, self.world.events_per_answer() + 1)
        return len(set(expected) - set(self.numbers()))

    def surplus(self):
        """Return the number of events that came twice or out of order."""
        numbers = self.numbers()
        return sum(
            number <= max(numbers[:place], default=0)
            for place, number in enumerate(numbers)
        )

    def numbers(self):
        """Return the numbers of all received events, in order."""
        return [
            number for answer in self.answers for number, _ in answer.events()
        ]


class SilenceWorld(SeededWorld):
    """Hosts over upstreams that fall silent, and their callers.

    Parameters
    ==========

    kind : str
        Name of the route.
    seed : int
        Seed of the callers and of the silences.

    Attributes
    ==========

    callers : list of SilenceCaller
        The callers, in the order of their first tries.
    calls_at : dict
        Time at which each request came to a host, by identifier.
    silenced : Counter
        Connections of each request that fell silent for good, by identifier.
    """

    __slots__ = ('callers', 'calls_at', 'silenced')

    def __init__(self, hosts, domains, kind, seed=1):
        self.callers = []
        self.silenced = Counter()
        self.calls_at = {}
        self.route = ROUTES[kind]
        super().__init__(hosts, hosts, domains, seed=seed)
        self.route = ROUTES[kind]
        is_stream = self.route.kind is Kind.STREAM
        self.upstreams.answers_whole = not is_stream
        self.upstreams.work = _STREAM_SECONDS if is_stream else _ANSWER_SECONDS

    def make_fleet(self, hosts, domains):
        """Return the started hosts, with the route in their configuration."""
        return DomainWorld(
            hosts,
            domains,
            has_upstream=False,
            by_host={'host': (self.route,)},
            repeat_ratio=_RATIO,
            repeat_slack=RETRY_SLACK,
            repeat_window=_WINDOW_SECONDS,
        )

    def events_per_answer(self):
        """Return the number of events of a whole answer."""
        return round(self.upstreams.work / EVENT_GAP_SECONDS)

    def advance_until_idle(self, seconds):
        """Advance the virtual clock until all callers have ended."""
        ends = self.now() + seconds
        while self.now() < ends:
            self.advance(_IDLE_STEP_SECONDS)
            if all(caller.has_ended() for caller in self.callers):
                return

    def serving_hosts(self):
        """Return the running hosts that know their upstreams."""
        return serving_hosts(self.fleet)

    def start_caller(self):
        """Let a new caller send its first try."""
        number = len(self.callers)
        ident = f'{self.rng.getrandbits(_IDENT_BITS):016x}'
        caller = SilenceCaller(self, ident, b'request %d' % number)
        self.callers.append(caller)
        caller.send()

    def send_try(self, caller, ident, answer):
        """Send one try of a caller to a random host."""
        host = self.rng.choice(self.serving_hosts())
        self.calls_at[ident] = self.now()
        serve_try(self, host, caller, ident, answer)

    def fall_silent(self, share, seconds):
        """Let a random part of the upstreams stand still for some seconds."""
        addresses = list(self.upstreams.processes)
        count = round(share * len(addresses))
        for address in self.rng.sample(addresses, count):
            self.upstreams.pause(address, seconds)

    def silence_connection(self):
        """Let a random connection in use pass nothing on any more."""
        calls = [
            call
            for process in self.upstreams.running()
            for call in process.calls
            if call.is_open_to_host()
        ]
        if calls:
            call = self.rng.choice(calls)
            call.silent = True
            self.silenced[call.headers[NAMES.attempt].decode()] += 1

    def lost_attempts(self):
        """Return the requests all of whose connections fell silent."""
        allowed = self.route.attempts
        return {
            ident for ident, count in self.silenced.items() if count >= allowed
        }

    def change_configuration(self):
        """Write the next version of the configuration, without waiting."""
        version = self.fleet.running()[0].version
        self.write_at_once('config', 'main', version + 1)

    def write_at_once(self, kind, name, value):
        """Write an object, whatever comes of it."""
        self.fleet.store.write_at_once(kind, name, value)

    def received(self):
        """Return the requests that reached upstreams, by identifier.

        Explanation
        ===========

        One that an upstream has not read yet counts as well: no host can tell
        whether it will run.
        """
        reached = {}
        arrivals = (*self.upstreams.arrivals, *self.upstreams.held)
        for arrival in sorted(set(arrivals), key=_moment):
            reached.setdefault(arrival.request, []).append(arrival)
        return reached

    def repeats(self):
        """Return the times of all runs beyond the first of their request."""
        return sorted(
            arrival.at
            for arrivals in self.received().values()
            for arrival in arrivals[1:]
        )

    def overrun(self):
        """Return the requests that reached more upstreams than allowed."""
        return [
            ident
            for ident, arrivals in self.received().items()
            if len({arrival.upstream for arrival in arrivals})
            > self.route.attempts
        ]

    def budget_share(self):
        """Return the largest part of its repeats that a window had.

        Returns
        =======

        float
            Over 1 if there were more than a window allows.
        """
        requests = sorted(self.calls_at.values())
        repeats = self.repeats()
        return max(
            (_share_of_window(end, requests, repeats) for end in repeats),
            default=0.0,
        )

    def wasted_seconds(self):
        """Return the seconds of work on events that no caller got."""
        passed_on = sum(len(caller.numbers()) for caller in self.callers)
        return (self.upstreams.events_made - passed_on) * EVENT_GAP_SECONDS


def _share_of_window(end, requests, repeats):
    counts = [
        sum(end - _WINDOW_SECONDS <= moment <= end for moment in moments)
        for moments in (requests, repeats)
    ]
    return counts[1] / (_RATIO * counts[0] + RETRY_SLACK)


def _moment(arrival):
    return arrival.at, arrival.upstream
