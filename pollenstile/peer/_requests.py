"""Requests between peers and their answers."""

import itertools
from dataclasses import dataclass

from twisted.internet.defer import Deferred, maybeDeferred

from pollenstile.peer import events
from pollenstile.peer._messages import Answer, Ask

_STEP = 'ask'
# Reason of an unanswered request to an address at which no process listens.
REFUSED = 'refused'
# Reason if the link to the host was lost before its answer.
LOST = 'lost'


@dataclass(slots=True, frozen=True)
class Unanswered:
    """A request to a peer received no answer.

    Parameters
    ==========

    step, peer, reason : str
        Step, name of the peer, and reason: ``'timeout'``, ``'refused'`` if its
        address refused a connection meanwhile, ``'lost'``, ``'no route'`` or
        ``'unknown subject'``.
    """

    step: str
    peer: str
    reason: str


class Requests:
    """Sends requests to peers and answers those of peers.

    Parameters
    ==========

    hub : Hub
        Hub with the links to peers.

    Attributes
    ==========

    subjects : dict
        Request handlers by subject. They take the name of the peer and the
        body, and return the bytes of the answer or a Deferred of them.
    """

    __slots__ = ('hub', 'numbers', 'subjects')

    def __init__(self, hub):
        self.hub = hub
        self.subjects = {}
        self.numbers = itertools.count(1)
        hub.message_handlers[Ask] = self._handle_request
        hub.message_handlers[Answer] = self._handle_answer

    def ask(self, host, subject, body, timeout, address=''):
        """Send a request to a host; see :meth:`Hub.ask`."""
        answer = Deferred()
        refused = set()
        answer.addTimeout(
            timeout,
            self.hub.clock,
            onTimeoutCancel=lambda *_: Unanswered(
                _STEP, host, REFUSED if address in refused else 'timeout'
            ),
        )
        link = self.hub.links.get(host)
        if link is not None:
            self._send(link, subject, body, answer)
        elif address:
            self._send_later(host, subject, body, answer)
            self._collect_refusals(answer, refused.add)
            self.hub.dialer.dial(address)
        else:
            answer.callback(Unanswered(_STEP, host, 'no route'))
        return answer

    def _send(self, link, subject, body, answer):
        number = next(self.numbers)
        link.waiting[number] = answer
        link.last_used = self.hub.clock.seconds()
        answer.addBoth(_remove_waiting, link, number)
        link.send(Ask(number, subject, body))

    def _send_later(self, host, subject, body, answer):
        link_up_handlers = self.hub.link_up_handlers

        def link_opened(link):
            if link.host == host and link_opened in link_up_handlers:
                link_up_handlers.remove(link_opened)
                self._send(link, subject, body, answer)

        def request_ended(result):
            if link_opened in link_up_handlers:
                link_up_handlers.remove(link_opened)
            return result

        link_up_handlers.append(link_opened)
        answer.addBoth(request_ended)

    def _collect_refusals(self, answer, add):
        """Pass refusing addresses to a function until there is an answer."""
        handlers = self.hub.refused_handlers
        handlers.append(add)

        def request_ended(result):
            handlers.remove(add)
            return result

        answer.addBoth(request_ended)

    def _handle_answer(self, link, message):
        waiting = link.waiting.pop(message.number, None)
        if waiting is None or waiting.called:
            return
        if message.taken:
            waiting.callback(message.body)
            return
        waiting.callback(Unanswered(_STEP, link.host, 'unknown subject'))

    def _handle_request(self, link, message):
        link.last_used = self.hub.clock.seconds()
        subject = self.subjects.get(message.subject, _unknown_subject)
        if subject is _unknown_subject:
            self.hub.log(
                events.PEER_UNKNOWN_SUBJECT,
                peer=link.host,
                subject=message.subject,
            )
            link.send(Answer(message.number, taken=False))
            return
        body = maybeDeferred(subject, link.host, message.body)
        body.addCallback(_send_answer, link, message.number)
        body.addErrback(self._handle_failure, link, message.number)

    def _handle_failure(self, failure, link, number):
        self.hub.log(
            events.PEER_HANDLER_FAILED,
            level='error',
            peer=link.host,
            error=repr(failure.value),
        )
        link.send(Answer(number, taken=False))


def _unknown_subject(host, body):
    """Mark a subject that has no handler."""


def _remove_waiting(result, link, number):
    link.waiting.pop(number, None)
    return result


def _send_answer(body, link, number):
    link.send(Answer(number, True, body))
