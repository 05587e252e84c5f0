"""Reads engine states and sends orders over HTTP."""

import msgspec
from twisted.internet.defer import Deferred

from pollenstile.placement._orders import (
    ORDER_PATH,
    Applied,
    EngineState,
    Lost,
    Refused,
)
from pollenstile.platform import FailedCall, ServerClient

_OK = 200
_CONFLICT = 409
_TIMEOUT_SECONDS = 2.0
_decode_state = msgspec.json.Decoder(EngineState).decode
_decode_refusal = msgspec.json.Decoder(Refused).decode


class HttpOrders:
    """Client of the placement interface of engines.

    Explanation
    ===========

    Each call uses a connection of its own.

    Parameters
    ==========

    reactor : IReactorTCP and IReactorTime
        Opens connections and times out calls.
    """

    __slots__ = ('reactor',)

    def __init__(self, reactor):
        self.reactor = reactor

    def read_state(self, name, upstream):
        """Return a Deferred of ``EngineState`` or ``Lost``."""
        return Deferred.fromCoroutine(self._read_state(upstream))

    def send(self, name, upstream, order):
        """Return a Deferred of ``Applied``, ``Refused`` or ``Lost``."""
        return Deferred.fromCoroutine(self._send(upstream, order))

    async def _read_state(self, upstream):
        reply = await self._call(upstream, 'GET')
        if isinstance(reply, FailedCall):
            return Lost('look', upstream.address, reply.reason)
        return _decode_reply(reply, _decode_state, 'look', upstream)

    async def _send(self, upstream, order):
        body = msgspec.json.encode(order)
        reply = await self._call(upstream, 'PUT', body)
        if isinstance(reply, FailedCall):
            return Lost('order', upstream.address, reply.reason)
        if reply.status == _CONFLICT:
            return _decode_reply(reply, _decode_refusal, 'order', upstream)
        state = _decode_reply(reply, _decode_state, 'order', upstream)
        return state if isinstance(state, Lost) else Applied(state)

    def _call(self, upstream, method, body=None):
        host, _, port = upstream.address.rpartition(':')
        caller = ServerClient(
            self.reactor,
            self.reactor,
            host.strip('[]'),
            int(port),
            _TIMEOUT_SECONDS,
        )
        return caller.call(method, ORDER_PATH, body)


def http_orders(reactor):
    """Return a client for engines; see docs/protocols/orders.md."""
    return HttpOrders(reactor)


def _decode_reply(reply, decode, step, upstream):
    if reply.status not in {_OK, _CONFLICT}:
        return Lost(step, upstream.address, f'status {reply.status}')
    try:
        return decode(reply.body)
    except (msgspec.MsgspecError, RecursionError):
        return Lost(step, upstream.address, 'not understood')
