"""Requests to peers and their answers."""

import itertools
from dataclasses import dataclass

from twisted.internet.defer import Deferred, maybeDeferred

from pollenstile.peer import events
from pollenstile.peer._messages import Answer, Ask

_STEP = 'ask'


@dataclass(slots=True, frozen=True)
class Unanswered:
    """A request to a peer got no answer.

    Parameters
    ==========

    step, peer, reason : str
        Where and why; ``'timeout'``, ``'lost'``, ``'no route'``,
        ``'unknown subject'``.
    """

    step: str
    peer: str
    reason: str


class Requests:
    """What a hub's host has asked and can be asked.

    Parameters
    ==========

    hub : Hub
        Links to peers.

    Attributes
    ==========

    subjects : dict
        Functions that answer: take the peer's name and the body, return the
        answer's bytes or a Deferred of them.
    """

    __slots__ = ('hub', 'numbers', 'subjects')

    def __init__(self, hub):
        self.hub = hub
        self.subjects = {}
        self.numbers = itertools.count(1)
        hub.message_handlers[Ask] = self._answer
        hub.message_handlers[Answer] = self._answered

    def ask(self, host, subject, body, timeout, address=''):
        """Send a request to a host; see :meth:`Hub.ask`."""
        answer = Deferred()
        answer.addTimeout(
            timeout,
            self.hub.clock,
            onTimeoutCancel=lambda *_: Unanswered(_STEP, host, 'timeout'),
        )
        link = self.hub.links.get(host)
        if link is not None:
            self._send(link, subject, body, answer)
        elif address:
            self._send_later(host, subject, body, answer)
            self.hub.dialer.dial(address)
        else:
            answer.callback(Unanswered(_STEP, host, 'no route'))
        return answer

    def _send(self, link, subject, body, answer):
        number = next(self.numbers)
        link.waiting[number] = answer
        link.used = self.hub.clock.seconds()
        answer.addBoth(_forgotten, link, number)
        link.send(Ask(number, subject, body))

    def _send_later(self, host, subject, body, answer):
        link_up_handlers = self.hub.link_up_handlers

        def met(link):
            if link.host == host and met in link_up_handlers:
                link_up_handlers.remove(met)
                self._send(link, subject, body, answer)

        def ended(result):
            if met in link_up_handlers:
                link_up_handlers.remove(met)
            return result

        link_up_handlers.append(met)
        answer.addBoth(ended)

    def _answered(self, link, message):
        waiting = link.waiting.pop(message.number, None)
        if waiting is None or waiting.called:
            return
        if message.taken:
            waiting.callback(message.body)
            return
        waiting.callback(Unanswered(_STEP, link.host, 'unknown subject'))

    def _answer(self, link, message):
        link.used = self.hub.clock.seconds()
        subject = self.subjects.get(message.subject, _unknown)
        if subject is _unknown:
            self.hub.log(
                events.PEER_UNKNOWN_SUBJECT,
                peer=link.host,
                subject=message.subject,
            )
            link.send(Answer(message.number, taken=False))
            return
        body = maybeDeferred(subject, link.host, message.body)
        body.addCallback(_told, link, message.number)
        body.addErrback(self._failed, link, message.number)

    def _failed(self, failure, link, number):
        self.hub.log(
            events.PEER_HANDLER_FAILED,
            level='error',
            peer=link.host,
            error=repr(failure.value),
        )
        link.send(Answer(number, taken=False))


def _unknown(host, body):
    """Stand for a subject that nobody answers."""


def _forgotten(result, link, number):
    link.waiting.pop(number, None)
    return result


def _told(body, link, number):
    link.send(Answer(number, True, body))
