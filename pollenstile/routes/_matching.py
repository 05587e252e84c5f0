"""Which route, team and service a request has."""

_BEARER = 'bearer '


def route_of(table, host, path):
    """Return the route with the longest prefix of a path, or None.

    Examples
    ========

    >>> from pollenstile.routes import Kind, Route, RouteTable
    >>> long = Route('b', 'h', '/a/b/', Kind.ONCE, 1, 1)
    >>> short = Route('a', 'h', '/a/', Kind.ONCE, 1, 1)
    >>> table = RouteTable(1, {'h': (long, short)})
    >>> route_of(table, 'H:80', '/a/b/c').name
    'b'
    >>> route_of(table, 'h', '/c/') is None
    True
    """
    name = host.partition(':')[0].lower()
    for route in table.by_host.get(name, ()):
        if path.startswith(route.prefix):
            return route
    return None


def team_of(table, authorization):
    """Return the team whose key a header holds, or None."""
    scheme = authorization[: len(_BEARER)].lower()
    if scheme != _BEARER or not table.keys:
        return None
    return table.keys.get(authorization[len(_BEARER) :].strip())


def urgency_of(route, team):
    """Return how urgent a request is; 0 comes first."""
    if team is None or team.urgency is None:
        return route.urgency
    return team.urgency


def pick_service(route, point):
    """Return the target that a point from 0 to 1 falls on.

    Examples
    ========

    >>> from pollenstile.routes import Kind, Route, Target
    >>> both = (Target('a', 90), Target('b', 10))
    >>> route = Route('r', 'h', '/', Kind.ONCE, 1, 1, targets=both)
    >>> [picked_service(route, point) for point in (0.1, 0.95)]
    ['a', 'b']
    """
    whole = sum(target.weight for target in route.targets)
    left = point * whole
    for target in route.targets:
        left -= target.weight
        if left < 0:
            return target.service
    return route.targets[-1].service
