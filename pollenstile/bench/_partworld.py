"""Simulate callers of requests that share a part which crashes upstreams."""

from dataclasses import dataclass, field

from pollenstile.bench._crashworld import DEADLY
from pollenstile.bench._seededworld import SeededWorld
from pollenstile.quarantine import HELD_REASON

_TRIES = 3
# Seconds after which a caller repeats a try that failed without advice.
_RETRY_SECONDS = 0.2
# Seconds between a caller's looks at its answer.
_POLL_SECONDS = 0.05
_PART_TOKENS = 200
_SOUND = b'sound'
# Minimum number of shared parts of sound requests besides those of the load.
# There are as many as hosts, so that their home engines are not overloaded.
_MIN_SOUND_PARTS = 6
# Crashes after which hosts must keep a part from upstreams, seconds until then,
# and seconds until sound requests must be served as before.
ALLOWED_CRASHES = 5
CONTACT_SECONDS = 3.0


@dataclass(slots=True, frozen=True)
class PartLoad:
    """Rates of requests, and where their prompts hold the deadly part.

    Parameters
    ==========

    sound, deadly, chance : float
        Sound requests, requests with the deadly part, and crashes without a
        cause, a second.
    place, parts : int
        Position of the deadly part, from 0, and the number of parts.
    seconds : float
        Duration.
    teams : int
        Number of teams that send the requests, both kinds.
    bodies : int
        Number of different requests with the deadly part; 0 for a new one each
        time.
    """

    sound: float = 12.0
    deadly: float = 2.0
    chance: float = 0.0
    place: int = 1
    parts: int = 3
    seconds: float = 24.0
    teams: int = 1
    bodies: int = 0

    def prompt(self, number, part):
        """Return the prompt of a request that holds a part at the place."""
        idents = [f'shared-{place}' for place in range(self.parts - 1)]
        idents[self.place] = part
        return tuple(
            (ident, _PART_TOKENS) for ident in (*idents, f'own-{number}')
        )


@dataclass(slots=True)
class PartCaller:
    """A caller's request and its tries.

    Attributes
    ==========

    tries : list of SentRequest
        Oldest first.
    """

    body: bytes
    prompt: tuple
    team: str
    tries: list = field(default_factory=list)

    @property
    def is_sound(self):
        """Whether the request crashes no upstream."""
        return self.body.startswith(_SOUND)

    def is_served_at_once(self):
        """Return whether the first try was answered in full."""
        return self.tries[0].answer.end == 'whole'

    def is_held(self):
        """Return whether a host refused it for crashing upstreams."""
        return any(
            one.answer.refusal is not None
            and one.answer.refusal.reason == HELD_REASON
            for one in self.tries
        )


class PartWorld(SeededWorld):
    """Hosts and upstreams of few slots, and callers with prompts of parts.

    Parameters
    ==========

    load : PartLoad
        What the callers send.
    seed : int
        Seed of the callers and of crashes without a cause.

    Attributes
    ==========

    callers : list of PartCaller
        The callers, in the order of their first tries.
    """

    __slots__ = ('callers', 'load', 'sound_parts')

    def __init__(self, hosts, domains, load, seed=1, route='resumed', slots=8):
        super().__init__(hosts, hosts, domains, route, slots, seed)
        self.load = load
        self.callers = []
        self.sound_parts = max(_MIN_SOUND_PARTS, hosts)
        self.fleet.advance(1.0)

    def run_sound(self, seconds):
        """Let sound requests arrive for some seconds."""
        self.schedule_randomly(self.load.sound, seconds, self.send_sound)
        self.advance(seconds)

    def run(self):
        """Let all requests of the load arrive."""
        load = self.load
        self.schedule_randomly(load.deadly, load.seconds, self._send_deadly)
        self.schedule_randomly(load.chance, load.seconds, self.crash_upstream)
        self.run_sound(load.seconds)
        self.advance(2 * CONTACT_SECONDS)

    def send_sound(self, part=''):
        """Send a sound request with a part, one of a few by default."""
        drawn = f'sound-{self.rng.randrange(self.sound_parts)}'
        self._begin(_SOUND, part or drawn, len(self.callers))

    def judged_at(self):
        """Return the time of the fifth crash under the part, or the last."""
        crashes = self.deadly_crashes()[:ALLOWED_CRASHES]
        return crashes[-1] if crashes else 0.0

    def deadly_crashes(self):
        """Return the times of the crashes under the deadly part."""
        return [
            crash.at
            for crash in self.upstreams.crashes
            if crash.body.startswith(DEADLY)
        ]

    def late_arrivals(self):
        """Return the arrivals of the deadly part that are not allowed.

        Explanation
        ===========

        Those later than :data:`CONTACT_SECONDS` after the fifth crash.
        """
        if len(self.deadly_crashes()) < ALLOWED_CRASHES:
            return []
        since = self.judged_at() + CONTACT_SECONDS
        return [
            arrival
            for arrival in self.upstreams.arrivals
            if arrival.body.startswith(DEADLY) and arrival.at > since
        ]

    def share_served(self, since, until):
        """Return the share of sound requests served at their first try.

        Parameters
        ==========

        since, until : float
            Times on the clock between which the requests were sent.
        """
        sound = [
            caller
            for caller in self.callers
            if caller.is_sound and since <= caller.tries[0].at < until
        ]
        served = sum(caller.is_served_at_once() for caller in sound)
        return served / max(1, len(sound))

    def sound_held(self):
        """Return the sound requests refused for crashing upstreams."""
        return [
            caller
            for caller in self.callers
            if caller.is_sound and caller.is_held()
        ]

    def _send_deadly(self):
        bodies = self.load.bodies
        number = self.rng.randrange(bodies) if bodies else len(self.callers)
        self._begin(DEADLY, 'deadly', number)

    def _begin(self, prefix, part, number):
        caller = PartCaller(
            prefix + b'%d' % number,
            self.load.prompt(number, part),
            f'team-{self.rng.randrange(self.load.teams)}',
        )
        self.callers.append(caller)
        self._try(caller)

    def _try(self, caller):
        names = [host.name for host in self.fleet.running()]
        used = {sent.host for sent in caller.tries}
        others = [name for name in names if name not in used]
        name = self.rng.choice(others or names)
        sent = self.send_request(name, caller.body, caller.prompt, caller.team)
        caller.tries.append(sent)
        self._watch(caller, sent.answer)

    def _watch(self, caller, answer):
        """Repeat a try that has failed, after the advised time."""
        if not answer.end:
            self.later(_POLL_SECONDS, self._watch, caller, answer)
            return
        if answer.end == 'whole' or len(caller.tries) >= _TRIES:
            return
        advised = answer.refusal.retry_after if answer.refusal else 0.0
        self.later(advised or _RETRY_SECONDS, self._try, caller)
