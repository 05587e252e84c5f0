"""Statistics of a simulated load of three graded urgencies and many teams."""

from dataclasses import dataclass

from pollenstile.shares import equal_level

# Period in seconds at which the use of the upstreams is sampled.
_SAMPLE_SECONDS = 0.05


class UsageSampler:
    """Samples how many upstreams work while pieces wait for them.

    Attributes
    ==========

    waited : int
        Upstreams of the stages with waiting pieces, over all samples.
    worked : int
        Those of them that were processing a call.
    """

    __slots__ = ('fleet', 'waited', 'worked')

    def __init__(self, fleet):
        self.fleet = fleet
        self.waited = 0
        self.worked = 0
        self._sample()

    def share(self):
        """Return the share of upstreams that work while pieces wait."""
        return self.worked / self.waited if self.waited else 1.0

    def _sample(self):
        now = self.fleet.clock.seconds()
        for name, queues in self.fleet.queues.items():
            if not any(queue.waiting for queue in queues):
                continue
            upstreams = [
                upstream
                for address, upstream in self.fleet.upstreams.items()
                if address.startswith(f'{name}.')
            ]
            self.waited += len(upstreams)
            self.worked += sum(
                upstream.ready_at > now for upstream in upstreams
            )
        self.fleet.clock.callLater(_SAMPLE_SECONDS, self._sample)


@dataclass(slots=True, frozen=True)
class GradedLoad:
    """A simulated load: its requests, their upstreams and the use of these."""

    requests: list
    fleet: object
    usage: UsageSampler

    def served_share(self, **fields):
        """Return the share of the pieces of some requests that were admitted.

        Parameters
        ==========

        fields : dict
            Values that the attributes of these requests have.
        """
        chosen = [
            served
            for served in self.requests
            if all(
                getattr(served, name) == value for name, value in fields.items()
            )
        ]
        return _share(chosen, _is_served)

    def size_ratio(self):
        """Return how often the largest tenth is served, relative to others."""
        least = sorted(served.pieces for served in self.requests)[
            -len(self.requests) // 10
        ]
        large = [served for served in self.requests if served.pieces >= least]
        others = [served for served in self.requests if served.pieces < least]
        return _share(large, _is_served) / _share(others, _is_served)

    def within_share(self, kind):
        """Return the served share of the teams within their equal share.

        Explanation
        ===========

        The equal share follows by max-min fairness from what all teams offered
        and what was served of it in the whole run.

        Returns
        =======

        float
            1 when no team stays within its equal share.
        """
        teams = {}
        for served in self.requests:
            if served.kind == kind:
                teams.setdefault(served.team, []).append(served)
        offers = {team: _pieces(sent) for team, sent in teams.items()}
        answered = [
            served
            for sent in teams.values()
            for served in sent
            if _is_served(served)
        ]
        level = equal_level(offers.values(), _pieces(answered))
        within = [
            served
            for team, sent in teams.items()
            for served in sent
            if offers[team] <= level
        ]
        return _share(within, _is_served)

    def wasted_share(self):
        """Return the share of stage seconds of requests refused or late."""
        spent = {}
        for upstream in self.fleet.upstreams.values():
            for ident, seconds in upstream.spent.items():
                spent[ident] = spent.get(ident, 0) + seconds
        wasted = sum(
            spent.get(served.ident, 0)
            for served in self.requests
            if not _is_served(served)
        )
        return wasted / sum(spent.values())

    def late_share(self):
        """Return the share of the served requests that missed their target."""
        answered = [served for served in self.requests if _is_served(served)]
        late = [
            served
            for served in answered
            if served.stage_seconds + served.read > served.aim
        ]
        return len(late) / max(1, len(answered))

    def immediate_share(self):
        """Return the share of refusals within an eighth of the target."""
        refused = [served for served in self.requests if served.refused]
        immediate = [
            served
            for served in refused
            if served.refused_after <= served.aim / 8
        ]
        return len(immediate) / len(refused) if refused else 1.0


def summarize_graded(load):
    """Return the statistics of a graded load as a JSON document."""
    kinds = list(dict.fromkeys(served.kind for served in load.requests))
    in_aim = [
        served
        for served in load.requests
        if _is_served(served)
        and served.stage_seconds + served.read <= served.aim
    ]
    return {
        'requests': len(load.requests),
        'in_aim': len(in_aim),
        'served': {
            kind: round(load.served_share(kind=kind), 3)
            for kind in sorted(kinds)
        },
        'large_team': round(load.served_share(team='large'), 3),
        'within': {
            kind: round(load.within_share(kind), 3) for kind in sorted(kinds)
        },
        'largest_tenth': round(load.size_ratio(), 3),
        'used': round(load.usage.share(), 3),
        'wasted': round(load.wasted_share(), 3),
        'late': round(load.late_share(), 3),
        'refused_at_once': round(load.immediate_share(), 3),
    }


def _is_served(served):
    return served.stage_seconds is not None


def _share(requests, is_counted):
    total = _pieces(requests)
    counted = _pieces([served for served in requests if is_counted(served)])
    return counted / total if total else 1.0


def _pieces(requests):
    return sum(served.pieces for served in requests)
