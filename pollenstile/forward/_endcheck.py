"""Whether a close was the end that an upstream gave its answer."""

from pollenstile.closes import Question
from pollenstile.forward._processes import Process

_STATED = frozenset((Process.LISTED, Process.LATER))


def end_check(core, view, silence, may_be_whole):
    """Return the check of an answer that ends with its connection.

    Explanation
    ===========

    Where no witness shows whether its process lives on, one that listens now
    must do; if upstreams state when they started, their report tells whether
    that is the same one. A process that doesn't live on may have ended its
    answer if it has left in order.

    Parameters
    ==========

    core : ForwardCore
        Components of the host.
    view : UpstreamView
        The upstream, before the request is sent.
    silence : SilenceWatch
        Knows when this host has paused to read.
    may_be_whole : function
        Returns whether the answer may be whole as it ends; nothing is asked for
        one that is not.

    Returns
    =======

    function
        ``confirm`` of :class:`~pollenstile.forward._call.Call`.
    """

    async def confirm(connection):
        if connection.is_answered_twice() or not may_be_whole():
            return True
        pauses = silence.backpressure.pauses
        lives_on = await connection.witnessed(pauses.late_since(), view.ident)
        if lives_on is None:
            lives_on = await _lives_on(core, view, connection)
        if lives_on:
            connection.note_proven()
            return True
        return await connection.left_in_order(view.ident)

    return confirm


async def _lives_on(core, view, connection):
    """Return whether the process that listens now is the one that closed."""
    process = Process.UNSTATED
    if view.born:
        process = await core.processes.ask_now(view)
    if process in _STATED:
        return process is Process.LISTED
    return await connection.answers_anew(view.ident)


def is_last_at(core, address):
    """Return whether this host has one request or none at an address."""
    return (
        sum(
            view.in_flight
            for view in core.registry.views.values()
            if view.address == address
        )
        <= 1
    )


def question_for(core, address, ident):
    """Return the :class:`Question` to the process at an address.

    Explanation
    ===========

    A process may have the address of one that has ended and is still listed. So
    where a peer doesn't know which of them has closed, either may answer.

    Parameters
    ==========

    core : ForwardCore
        Components of the host.
    address : str
        ``IP:PORT`` of an upstream.
    ident : str
        Its identifier; empty if that is not known.
    """
    target, headers = core.codec.report(address)
    listed = [
        upstream.ident
        for upstream in core.registry.upstreams.values()
        if upstream.address == address
    ]
    if not ident and len(listed) == 1:
        ident = listed[0]
    expected = [(core.names.expect, ident.encode())] if ident else []
    return Question(target, [*headers, *expected])
