"""Decoding of route tables from documents in the native format."""

import msgspec

from pollenstile.routes._model import Limits, Route, RouteTable, Service, Team


class TeamDocument(msgspec.Struct):
    """A team and its keys."""

    name: str
    keys: list[str] = []
    urgency: int | None = None


class TableDocument(msgspec.Struct):
    """One version of the configuration.

    Parameters
    ==========

    version : int
        Increases with each change.
    teams : list of TeamDocument or None
        None when callers need no keys.
    """

    version: int
    routes: list[Route] = []
    services: list[Service] = []
    teams: list[TeamDocument] | None = None
    limits: Limits = msgspec.field(default_factory=Limits)


def table_of(value):
    """Return the route table that a document describes.

    Raises
    ======

    ValueError
        When the document is invalid; the message says where.

    Examples
    ========

    >>> route = {'name': 'r', 'host': 'H', 'prefix': '/r/', 'kind': 'once',
    ...          'timeout': 3, 'aim': 1, 'targets': [{'service': 's'}]}
    >>> table = table_of({'version': 4, 'routes': [route]})
    >>> table.version, table.by_host['h'][0].targets[0].service
    (4, 's')
    """
    document = msgspec.convert(value, TableDocument)
    return RouteTable(
        version=document.version,
        by_host=routes_by_host(document.routes),
        services={service.name: service for service in document.services},
        keys=_keys(document.teams),
        limits=document.limits,
    )


def routes_by_host(routes):
    """Return routes by host name in lower case, longest prefixes first."""
    by_host = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), []).append(route)
    for found in by_host.values():
        found.sort(key=_prefix_length, reverse=True)
    return by_host


def _prefix_length(route):
    return len(route.prefix)


def _keys(teams):
    if teams is None:
        return None
    return {
        key: Team(team.name, team.urgency)
        for team in teams
        for key in team.keys
    }
