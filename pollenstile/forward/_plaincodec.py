"""Codec for stage calls in the default format, JSON over HTTP."""

import msgspec

from pollenstile.stagework import Result

# Request targets of calls that run pieces and that release results.
RUN_TARGET = b'/batch'
FREE_TARGET = b'/free'


class PlainCodec:
    """Encodes batches and releases, and decodes results, in JSON."""

    __slots__ = ()

    def batch(self, worker, pieces, now):
        """Return target, headers and body of a call that runs pieces."""
        encoded_pieces = [
            {
                'request': piece.group.request,
                'step': piece.group.step,
                'number': piece.number,
                'key': piece.group.key,
                'inputs': list(piece.group.inputs),
            }
            for piece in pieces
        ]
        return (
            RUN_TARGET,
            _host_header(worker.address),
            msgspec.json.encode(encoded_pieces),
        )

    def release(self, address, handles):
        """Return target, headers and body of a call that releases results."""
        return FREE_TARGET, _host_header(address), msgspec.json.encode(handles)

    def results(self, body, count):
        """Return a list of ``Result``; None for an invalid answer."""
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


def _host_header(address):
    return [(b'host', address.encode())]
