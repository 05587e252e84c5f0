"""Requests whose upstream wants none any more once their connection opens."""

from pollenstile.forward._types import NotRun


def withdrawal_check(permissions, view):
    """Return the check of a call to an upstream; see :class:`Call`.

    Explanation
    ===========

    The upstream may state that it wants no requests while a connection to it is
    being opened, which can take as long as the timeout of a handshake.

    Parameters
    ==========

    permissions : Permissions
        What upstreams state.
    view : UpstreamView or Worker
        The upstream.
    """

    def check():
        block = permissions.withdrawn(view.incarnation)
        if block is None:
            return None
        return NotRun(block.reason, view.ident, arrived=False)

    return check
