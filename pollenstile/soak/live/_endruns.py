"""When upstreams end answers in unusual ways, and what callers get of them."""

from collections import Counter
from dataclasses import dataclass, field

from twisted.internet.task import deferLater

from pollenstile.soak.live._ends import SOUND
from pollenstile.soak.live._sound import end_of, is_undisturbed

# Share of the sound answers that must arrive if nothing else was met, and the
# number from which on the share counts.
_MIN_ARRIVED_SHARE = 0.9
_MIN_ANSWERS = 10


@dataclass(slots=True)
class EndCounts:
    """What became of answers that end in unusual ways.

    Attributes
    ==========

    sent : Counter
        Answers that were sent as a whole, by kind.
    got : Counter
        Requests that got one whose end is a fault, by kind and what their
        callers got.
    broken_off : int
        Sound answers without a length that something else ended.
    arrived : int
        Sound answers that their callers got as a whole.
    served, undisturbed : int
        Requests that met nothing else, and those of them that were served.
    lines : list of str
        A line for each violation.
    """

    sent: Counter = field(default_factory=Counter)
    got: Counter = field(default_factory=Counter)
    broken_off: int = 0
    arrived: int = 0
    served: int = 0
    undisturbed: int = 0
    lines: list = field(default_factory=list)


async def end_answers(world, seconds, names):
    """Let a share of the answers end in unusual ways for some seconds.

    Parameters
    ==========

    names : tuple of str
        How answers end, in ``ENDS``.
    """
    world.endings.names = names
    await deferLater(world.reactor, seconds)
    world.endings.names = ()


def count_ends(records):
    """Return the :class:`EndCounts` of a run."""
    counts = EndCounts()
    by_ident = {}
    for answer in records.ended_answers:
        counts.sent[answer.kind] += answer.is_sent
        is_sound = answer.kind == SOUND
        counts.broken_off += is_sound and not answer.is_sent
        by_ident.setdefault(answer.ident, []).append(answer)
    upstreams = records.upstreams_by_ident()
    for record in records.requests:
        answers = by_ident.get(record.ident)
        if answers:
            reached = upstreams.get(record.ident, set())
            _count_request(record, answers, reached, records, counts)
    _check_arrived(counts)
    return counts


def _count_request(record, answers, reached, records, counts):
    kinds = {answer.kind for answer in answers}
    for kind in kinds - {SOUND}:
        counts.got[f'{kind} {end_of(record)}'] += 1
    if not any(answer.kind == SOUND and answer.is_sent for answer in answers):
        return
    is_whole = end_of(record) == 'whole'
    counts.arrived += is_whole
    if is_undisturbed(record, reached, records):
        counts.undisturbed += 1
        counts.served += is_whole


def _check_arrived(counts):
    least = _MIN_ARRIVED_SHARE * counts.undisturbed
    if counts.undisturbed >= _MIN_ANSWERS and counts.served < least:
        counts.lines.append(
            f'{counts.served} of {counts.undisturbed} requests were served '
            'whose sound answers ended with their connections'
        )
