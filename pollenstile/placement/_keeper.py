"""Taking, renewing and giving back a lease."""

from pollenstile.placement import events
from pollenstile.placement._lease import (
    LEASES,
    Pause,
    Take,
    is_held,
    lease_move,
    lose,
    observe,
    settle,
)
from pollenstile.platform import (
    InDoubt,
    Unavailable,
    Written,
    field_mark,
    put_with_readback,
    no_pause,
)

_MARK = field_mark('mark')
_ATTEMPTS = 4
_FOLLOW = 4.0


class LeaseManager:
    """One host's side of one lease.

    Parameters
    ==========

    lease : Lease
        State of the decisions.
    name : str
        Name of the object, the failure domain.
    store : Store
        The object API.
    suspend_clock : function
        Returns seconds, suspended time included.
    log : function
        Writes events.
    pause : function
        Waits between tries of an in-doubt write.

    Public state
    ============

    busy : bool
        Whether a tick is running.
    acted : bool
        Whether the lease was held at the last tick.
    in_doubt : bool
        Whether a write may still be on its way.
    read_at : float or None
        When the object was last read.
    follow : float
        Seconds between the reads of a host that is not the holder. All hosts
        of the domain follow, so this bounds the reads of the whole fleet.
    """

    __slots__ = (
        'acted',
        'busy',
        'follow',
        'in_doubt',
        'lease',
        'log',
        'name',
        'pause',
        'read_at',
        'store',
        'suspend_clock',
    )

    def __init__(self, lease, name, store, suspend_clock, log, pause=no_pause):
        self.lease = lease
        self.name = name
        self.store = store
        self.suspend_clock = suspend_clock
        self.log = log
        self.pause = pause
        self.busy = False
        self.acted = False
        self.in_doubt = False
        self.read_at = None
        self.follow = _FOLLOW

    def holds(self):
        """Return whether an order may be sent at this instant."""
        return is_held(self.lease, self.suspend_clock())


async def lease_tick(keeper):
    """Do what is due: read the lease, take it or renew it."""
    if keeper.busy:
        return
    keeper.busy = True
    try:
        await _tick(keeper)
    finally:
        keeper.busy = False


async def released(keeper):
    """Give the lease back, so that a successor need not wait.

    Explanation
    ===========

    The own term ends before the write is sent. The object stays, with its
    version, so that fencing numbers go on rising.
    """
    lease = keeper.lease
    if not is_held(lease, keeper.suspend_clock()):
        return
    version = lease.seen_version
    lose(lease)
    value = {'holder': '', 'fence': 0, 'term': 0, 'mark': f'{lease.holder}/-'}
    await keeper.store.put(LEASES, keeper.name, value, version)
    _log(keeper, events.LEASE_RELEASED)


async def _tick(keeper):
    lease = keeper.lease
    fence = lease.fence
    held = keeper.holds()
    if keeper.acted and not held:
        _log(keeper, events.LEASE_LAPSED, level='warning')
    if keeper.in_doubt or not held and _read_due(keeper):
        await _read(keeper)
    if not keeper.in_doubt:
        await _move(keeper)
    if fence and not lease.fence:
        _log(keeper, events.LEASE_LOST, level='warning', lost=fence)
    keeper.acted = keeper.holds()


async def _move(keeper):
    move = lease_move(keeper.lease, keeper.suspend_clock())
    if not isinstance(move, Pause):
        await _write(keeper, move)


def _read_due(keeper):
    lease = keeper.lease
    # One that was lost, or that lapsed, is read at once: what is known of it
    # is no longer true.
    if keeper.read_at is None or lease.fence or keeper.acted:
        return True
    return keeper.suspend_clock() - keeper.read_at >= keeper.follow


async def _read(keeper):
    keeper.read_at = keeper.suspend_clock()
    outcome = await keeper.store.get(LEASES, keeper.name)
    observe(keeper.lease, outcome, keeper.suspend_clock())
    if not isinstance(outcome, Unavailable):
        keeper.in_doubt = False


async def _write(keeper, move):
    sent_at = keeper.suspend_clock()
    outcome = await put_with_readback(
        keeper.store,
        LEASES,
        keeper.name,
        move.value,
        move.if_version,
        _MARK,
        keeper.pause,
        _ATTEMPTS,
    )
    settle(keeper.lease, move, outcome, sent_at)
    # The version may be another than the one last known. A write over the old
    # one would meet a conflict with our own, so a read comes first.
    keeper.in_doubt = isinstance(outcome, InDoubt)
    if keeper.in_doubt:
        _log(keeper, events.LEASE_IN_DOUBT, level='warning')
    if isinstance(outcome, Written):
        taken = isinstance(move, Take)
        event = events.LEASE_TAKEN if taken else events.LEASE_RENEWED
        _log(keeper, event, level='info' if taken else 'debug')


def _log(keeper, event, level='info', **fields):
    keeper.log(
        event,
        level=level,
        domain=keeper.name,
        fence=keeper.lease.fence,
        **fields,
    )
