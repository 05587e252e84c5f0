"""Codec of calls to upstreams in the default format, JSON over HTTP."""

import msgspec

from pollenstile.stagework import Result

# Request targets of calls that run pieces and that release results.
RUN_TARGET = b'/batch'
FREE_TARGET = b'/free'


class _Report(msgspec.Struct):
    """Report of an upstream; it may state more."""

    born: int = 0


class ReportCodec:
    """Encodes requests for reports of upstreams, and decodes the reports.

    Attributes
    ==========

    report_target : bytes
        Request target of a report.
    """

    __slots__ = ()
    report_target = b'/report'

    def report(self, address):
        """Return target and headers of a request for an upstream's report."""
        return self.report_target, _host_header(address)

    def report_born(self, body):
        """Return the start in Unix milliseconds that a report states.

        Returns
        =======

        int or None
            0 if it states none, None if it can't be read.
        """
        try:
            return msgspec.json.decode(body, type=_Report).born
        except (msgspec.DecodeError, RecursionError):
            return None


class PlainCodec(ReportCodec):
    """Encodes calls to upstreams, and decodes their answers, in JSON."""

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
        except (msgspec.DecodeError, RecursionError):
            return None
        if len(handles) != count:
            return None
        return [
            Result(handle) if handle else Result(reason='gone')
            for handle in handles
        ]


def _host_header(address):
    return [(b'host', address.encode())]
