"""Acquires, renews and releases a lease in the object API."""

from pollenstile.placement import events
from pollenstile.placement._lease import (
    LEASES,
    Acquire,
    Wait,
    apply_write_outcome,
    is_held,
    mark_lost,
    next_lease_action,
    observe,
)
from pollenstile.platform import (
    InDoubt,
    Unavailable,
    Written,
    field_mark,
    no_pause,
    put_with_readback,
)

_MARK = field_mark('mark')
_MAX_ATTEMPTS = 4
_FOLLOWER_READ_SECONDS = 4.0


class LeaseManager:
    """Reads and writes of one lease by one host.

    Parameters
    ==========

    lease : Lease
        State from which the next action is decided.
    name : str
        Name of the lease object, which is the failure domain.
    store : Store
        Client of the object API.
    suspend_clock : function
        Returns seconds, including time during which the host was suspended.
    log : function
        Writes events.
    pause : function
        Waits between the attempts of a write that is in doubt.

    Public state
    ============

    busy : bool
        Whether a tick is running.
    was_held : bool
        Whether the lease was held at the end of the last tick.
    in_doubt : bool
        Whether a write may still be in transit.
    read_at : float or None
        When the object was last read.
    follower_read_interval : float
        Seconds between the reads of a host that is not the holder. All hosts
        of the domain read the object, so this bounds the reads of the fleet.
    """

    __slots__ = (
        'busy',
        'follower_read_interval',
        'in_doubt',
        'lease',
        'log',
        'name',
        'pause',
        'read_at',
        'store',
        'suspend_clock',
        'was_held',
    )

    def __init__(self, lease, name, store, suspend_clock, log, pause=no_pause):
        self.lease = lease
        self.name = name
        self.store = store
        self.suspend_clock = suspend_clock
        self.log = log
        self.pause = pause
        self.busy = False
        self.was_held = False
        self.in_doubt = False
        self.read_at = None
        self.follower_read_interval = _FOLLOWER_READ_SECONDS

    def holds(self):
        """Return whether an order may be sent at this instant."""
        return is_held(self.lease, self.suspend_clock())


async def lease_tick(manager):
    """Read, acquire or renew the lease if that is due."""
    if manager.busy:
        return
    manager.busy = True
    try:
        await _tick(manager)
    finally:
        manager.busy = False


async def release_lease(manager):
    """Release the lease, so that a successor need not wait for its end.

    Explanation
    ===========

    This host's term ends before the write is sent. The object is kept along
    with its version, so that fencing numbers continue to rise.
    """
    lease = manager.lease
    if not is_held(lease, manager.suspend_clock()):
        return
    version = lease.seen_version
    mark_lost(lease)
    value = {'holder': '', 'fence': 0, 'term': 0, 'mark': f'{lease.holder}/-'}
    await manager.store.put(LEASES, manager.name, value, version)
    _log(manager, events.LEASE_RELEASED)


async def _tick(manager):
    lease = manager.lease
    fence = lease.fence
    held = manager.holds()
    if manager.was_held and not held:
        _log(manager, events.LEASE_LAPSED, level='warning')
    if manager.in_doubt or not held and _is_read_due(manager):
        await _read(manager)
    if not manager.in_doubt:
        await _act(manager)
    if fence and not lease.fence:
        _log(manager, events.LEASE_LOST, level='warning', lost=fence)
    manager.was_held = manager.holds()


async def _act(manager):
    action = next_lease_action(manager.lease, manager.suspend_clock())
    if not isinstance(action, Wait):
        await _write(manager, action)


def _is_read_due(manager):
    lease = manager.lease
    # A lease that was lost or has lapsed is read at once, because what is
    # known of it is no longer true.
    if manager.read_at is None or lease.fence or manager.was_held:
        return True
    return (
        manager.suspend_clock() - manager.read_at
        >= manager.follower_read_interval
    )


async def _read(manager):
    manager.read_at = manager.suspend_clock()
    outcome = await manager.store.get(LEASES, manager.name)
    observe(manager.lease, outcome, manager.suspend_clock())
    if not isinstance(outcome, Unavailable):
        manager.in_doubt = False


async def _write(manager, action):
    sent_at = manager.suspend_clock()
    outcome = await put_with_readback(
        manager.store,
        LEASES,
        manager.name,
        action.value,
        action.if_version,
        _MARK,
        manager.pause,
        _MAX_ATTEMPTS,
    )
    apply_write_outcome(manager.lease, action, outcome, sent_at)
    # The version may differ from the one last known. A write conditional on
    # the old version would conflict with this host's own write, so the object
    # is read first.
    manager.in_doubt = isinstance(outcome, InDoubt)
    if manager.in_doubt:
        _log(manager, events.LEASE_IN_DOUBT, level='warning')
    if isinstance(outcome, Written):
        acquired = isinstance(action, Acquire)
        event = events.LEASE_TAKEN if acquired else events.LEASE_RENEWED
        _log(manager, event, level='info' if acquired else 'debug')


def _log(manager, event, level='info', **fields):
    manager.log(
        event,
        level=level,
        domain=manager.name,
        fence=manager.lease.fence,
        **fields,
    )
