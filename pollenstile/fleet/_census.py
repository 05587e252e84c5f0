"""Query of the version in force at every host of the fleet.

Explanation
===========

The query is flooded over the links. A host that receives it for the first time
forwards it to its other peers, and answers when these have answered or when
the time budget is over; a host that receives it again answers at once with an
empty list. A query costs two messages per link; without queries there is no
cost.

References
==========

Segall, Distributed Network Protocols, 1983 (propagation with feedback).
"""

from collections import OrderedDict
from dataclasses import dataclass

from twisted.internet.defer import gatherResults

from pollenstile.ops.bounded import drop_oldest
from pollenstile.peer import BadMessageError, Unanswered, decode_struct, schema

SUBJECT = 'status'
# Queries that are remembered, so that a repeated one is recognised.
_MAX_QUERIES = 256
_MS = 1000
# Share of its time budget that each hop gives to the next one.
_HOP_BUDGET_SHARE = 0.8
_BITS = 64


@dataclass(slots=True, frozen=True)
class HostStatus:
    """Status of one entry host.

    Parameters
    ==========

    host, domain : str
        Name and domain of the host.
    version : int
        Version in force at the host.
    leaving : bool
        Whether the host is leaving.
    """

    host: str
    domain: str
    version: int
    leaving: bool


class Census:
    """Collects the statuses of all hosts and answers queries of peers.

    Parameters
    ==========

    hub : Hub
        Links to peers.
    own_status : function
        Returns the :class:`HostStatus` of this host.
    """

    __slots__ = ('hub', 'own_status', 'queries')

    def __init__(self, hub, own_status):
        self.hub = hub
        self.own_status = own_status
        self.queries = OrderedDict()
        hub.requests.subjects[SUBJECT] = self._answer_query

    def collect(self, seconds):
        """Return a Deferred of the HostStatus of each host that answers."""
        query = f'{self.hub.hello.host}/{self.hub.random.getrandbits(_BITS)}'
        self._remember(query)
        return self._collect_from_peers(query, seconds, '')

    def _answer_query(self, host, body):
        query, seconds = decode_struct(schema.StatusAsk, body, _decode_query)
        if query in self.queries:
            return _encode_statuses([])
        self._remember(query)
        answer = self._collect_from_peers(query, seconds, host)
        return answer.addCallback(_encode_statuses)

    def _remember(self, query):
        self.queries[query] = True
        drop_oldest(self.queries, _MAX_QUERIES)

    def _collect_from_peers(self, query, seconds, excluded):
        body = schema.StatusAsk.new_message(
            query=query,
            budgetMs=int(seconds * _HOP_BUDGET_SHARE * _MS),
        ).to_bytes()
        calls = []
        for host in self.hub.links:
            if host != excluded:
                calls.append(self.hub.ask(host, SUBJECT, body, seconds))
        return gatherResults(calls).addCallback(self._merge_answers)

    def _merge_answers(self, answers):
        statuses = {self.own_status().host: self.own_status()}
        for answer in answers:
            if isinstance(answer, Unanswered):
                continue
            for status in _decode_statuses(answer):
                statuses[status.host] = status
        return list(statuses.values())


def _decode_query(reader):
    return reader.query, reader.budgetMs / _MS


def _encode_statuses(statuses):
    hosts = []
    for status in statuses:
        hosts.append(
            {
                'host': status.host,
                'domain': status.domain,
                'version': status.version,
                'leaving': status.leaving,
            },
        )
    return schema.StatusAnswer.new_message(hosts=hosts).to_bytes()


def _decode_statuses(answer):
    try:
        return decode_struct(schema.StatusAnswer, answer, _build_statuses)
    except BadMessageError:
        return []


def _build_statuses(reader):
    statuses = []
    for row in reader.hosts:
        statuses.append(
            HostStatus(row.host, row.domain, row.version, row.leaving),
        )
    return statuses
