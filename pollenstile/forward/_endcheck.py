"""Whether a close was the end that an upstream gave its answer."""

from pollenstile.forward._processes import Process

_STATED = frozenset((Process.LISTED, Process.LATER))


def end_check(core, view, silence):
    """Return the check of an answer that ends with its connection.

    Explanation
    ===========

    Where upstreams state when their process started, a report shows whether the
    same one is still there.

    Parameters
    ==========

    core : ForwardCore
        Components of the host.
    view : UpstreamView
        The upstream, before the request is sent.
    silence : SilenceWatch
        Knows when this host has paused to read.

    Returns
    =======

    function
        ``confirm`` of :class:`~pollenstile.forward._call.Call`.
    """

    async def confirm(lives_on):
        process = Process.UNSTATED
        if view.born:
            process = await core.processes.ask_now(view)
        if process in _STATED:
            return process is Process.LISTED
        return await lives_on(silence.backpressure.first_paused_at)

    return confirm
