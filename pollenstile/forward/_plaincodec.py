"""Stage calls in the product's own form: JSON over HTTP."""

import msgspec

from pollenstile.stagework import Result

# Targets of a call that makes pieces, and of one that releases results.
RUN_TARGET = b'/batch'
FREE_TARGET = b'/free'


class PlainCodec:
    """Batches and releases in the product's own form."""

    __slots__ = ()

    def batch(self, worker, pieces, now):
        """Return target, headers and body of a call that makes pieces."""
        asked = [
            {
                'request': piece.group.request,
                'step': piece.group.step,
                'number': piece.number,
                'key': piece.group.key,
                'inputs': list(piece.group.inputs),
            }
            for piece in pieces
        ]
        return RUN_TARGET, _host(worker.address), msgspec.json.encode(asked)

    def release(self, address, handles):
        """Return target, headers and body of a release of results."""
        return FREE_TARGET, _host(address), msgspec.json.encode(handles)

    def results(self, body, count):
        """Return a list of ``Result``; None for an answer of another shape."""
        try:
            handles = msgspec.json.decode(body, type=list[str])
        except (msgspec.DecodeError, msgspec.ValidationError):
            return None
        if len(handles) != count:
            return None
        return [
            Result(handle) if handle else Result(reason='gone')
            for handle in handles
        ]


def _host(address):
    return [(b'host', address.encode())]
