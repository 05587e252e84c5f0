"""Which host has which version in force, asked of the whole fleet at once.

Explanation
===========

The question goes from link to link. Who hears it first passes it on and
answers when all of these have answered, or when its time is over; who hears
it again answers at once with nothing. So a question costs two messages a
link and nothing when nobody asks.

References
==========

Segall, Distributed Network Protocols, 1983 (propagation with feedback).
"""

from collections import OrderedDict
from dataclasses import dataclass

from twisted.internet.defer import gatherResults

from pollenstile.peer import BadMessageError, Unanswered, decode_struct, schema

SUBJECT = 'status'
_MOST_QUERIES = 256
_MS = 1000
# What a hop keeps for itself of the time that it was given.
_HOP_SHARE = 0.8
_BITS = 64


@dataclass(slots=True, frozen=True)
class HostStatus:
    """One entry host's answer.

    Parameters
    ==========

    host, domain : str
        Who.
    version : int
        Its version in force.
    leaving : bool
        Whether it is leaving.
    """

    host: str
    domain: str
    version: int
    leaving: bool


class Census:
    """Asks and answers.

    Parameters
    ==========

    hub : Hub
        Links to peers.
    own : function
        Returns the own :class:`HostStatus`.
    """

    __slots__ = ('hub', 'own', 'queries')

    def __init__(self, hub, own):
        self.hub = hub
        self.own = own
        self.queries = OrderedDict()
        hub.requests.subjects[SUBJECT] = self._asked

    def taken(self, seconds):
        """Return a Deferred of a HostStatus of each host that answers."""
        query = f'{self.hub.hello.host}/{self.hub.random.getrandbits(_BITS)}'
        self._note(query)
        return self._gathered(query, seconds, '')

    def _asked(self, host, body):
        query, seconds = decode_struct(schema.StatusAsk, body, _question)
        if query in self.queries:
            return _encoded([])
        self._note(query)
        answer = self._gathered(query, seconds, host)
        return answer.addCallback(_encoded)

    def _note(self, query):
        self.queries[query] = True
        while len(self.queries) > _MOST_QUERIES:
            self.queries.popitem(last=False)

    def _gathered(self, query, seconds, but):
        body = schema.StatusAsk.new_message(
            query=query,
            budgetMs=int(seconds * _HOP_SHARE * _MS),
        ).to_bytes()
        asked = []
        for host in self.hub.links:
            if host != but:
                asked.append(self.hub.ask(host, SUBJECT, body, seconds))
        return gatherResults(asked).addCallback(self._united)

    def _united(self, answers):
        found = {self.own().host: self.own()}
        for answer in answers:
            if isinstance(answer, Unanswered):
                continue
            for status in _statuses(answer):
                found[status.host] = status
        return list(found.values())


def _question(reader):
    return reader.query, reader.budgetMs / _MS


def _encoded(statuses):
    hosts = []
    for one in statuses:
        hosts.append(
            {
                'host': one.host,
                'domain': one.domain,
                'version': one.version,
                'leaving': one.leaving,
            },
        )
    return schema.StatusAnswer.new_message(hosts=hosts).to_bytes()


def _statuses(answer):
    try:
        return decode_struct(schema.StatusAnswer, answer, _read)
    except BadMessageError:
        return []


def _read(reader):
    found = []
    for one in reader.hosts:
        found.append(
            HostStatus(one.host, one.domain, one.version, one.leaving),
        )
    return found
