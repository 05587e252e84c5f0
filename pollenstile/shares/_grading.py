"""Stage services whose less urgent routes have longer target latencies."""

from itertools import pairwise

# Least number of urgencies whose routes use a graded service.
_MIN_URGENCIES = 3
# Least ratio of the shortest target latency of an urgency to the longest one of
# the next more urgent. From there on, the expected wait admits the less urgent
# while it refuses the more urgent.
_MIN_AIM_RATIO = 1.25


def is_graded(table, service):
    """Return whether a stage service's queue needs shares.

    Explanation
    ===========

    Routes of at least three urgencies must use the service, each less urgent
    one with target latencies at least 1.25 times those of the next more urgent
    one. Of several routes of one urgency, the least favourable pair counts.

    Parameters
    ==========

    table : RouteTable
        One version of the configuration.
    service : str
        Service whose upstreams process pieces of stages.

    Examples
    ========

    >>> from pollenstile.routes import Kind, Route, RouteTable, StageStep
    >>> def route(aim, urgency):
    ...     steps = (StageStep('s'),)
    ...     return Route('r', 'h', '/', Kind.ONCE, 9, aim, urgency, steps=steps)
    >>> graded = [route(1.0, 0), route(1.25, 1), route(2.0, 2)]
    >>> is_graded(RouteTable(1, {'h': graded}), 's')
    True
    >>> is_graded(RouteTable(1, {'h': [*graded, route(1.2, 1)]}), 's')
    False
    """
    aims = _aims_by_urgency(table, service)
    if len(aims) < _MIN_URGENCIES:
        return False
    return all(
        min(aims[less]) >= _MIN_AIM_RATIO * max(aims[more])
        for more, less in pairwise(sorted(aims))
    )


class GradedServices:
    """Results of :func:`is_graded`, kept until the route table changes.

    Attributes
    ==========

    table : RouteTable or None
        Table for which the results hold.
    by_service : dict
        Results by service name.
    """

    __slots__ = ('by_service', 'table')

    def __init__(self):
        self.table = None
        self.by_service = {}

    def is_graded(self, table, service):
        """Return whether a service is graded in a table."""
        if table is not self.table:
            self.table = table
            self.by_service = {}
        if service not in self.by_service:
            self.by_service[service] = is_graded(table, service)
        return self.by_service[service]


def _aims_by_urgency(table, service):
    """Return the target latencies of a service's routes by urgency."""
    aims = {}
    for routes in table.by_host.values():
        for route in routes:
            if any(step.service == service for step in route.steps):
                aims.setdefault(route.urgency, []).append(route.aim)
    return aims
