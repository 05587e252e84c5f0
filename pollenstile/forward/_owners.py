"""This host's queues of the stage services that it owns."""

from collections import Counter

from pollenstile.ops.logs import silent_log
from pollenstile.shares import GradedServices
from pollenstile.stagework import Owner


class StageOwners:
    """Queues of stage services, created on first use.

    Parameters
    ==========

    clock : IReactorTime
        Clock of the queues.
    registry : Registry
        Supplies the upstreams of the services.
    configuration : Configuration
        Supplies the limits of the services.
    calls : StageCalls
        Sends batches to upstreams.
    spend : function
        Spends retries; see :class:`~pollenstile.stagework.Owner`.
    quarantine : Quarantine
        Requests that crash upstreams.
    permissions : Permissions
        What upstreams state to the host.

    Attributes
    ==========

    by_service : dict
        The :class:`~pollenstile.stagework.Owner` of each service.
    graded : GradedServices
        Tells which services admit by shares.
    return_times : bool
        Whether these services promise refused callers a time to return.
    """

    __slots__ = (
        'by_service',
        'calls',
        'clock',
        'configuration',
        'graded',
        'log',
        'permissions',
        'quarantine',
        'registry',
        'return_times',
        'spend',
    )

    def __init__(
        self,
        clock,
        registry,
        configuration,
        calls,
        spend,
        quarantine,
        permissions,
        log=silent_log,
    ):
        self.clock = clock
        self.registry = registry
        self.configuration = configuration
        self.calls = calls
        self.spend = spend
        self.quarantine = quarantine
        self.permissions = permissions
        self.log = log
        self.by_service = {}
        self.graded = GradedServices()
        self.return_times = False
        quarantine.on_held = self.withdraw
        permissions.rates.listeners.append(self.update_limits)
        permissions.rates.stated.listeners.append(self._rate_changed)
        permissions.rests.listeners.append(self.update_limits)

    def owner(self, service):
        """Return this host's queue of a stage service."""
        owner = self.by_service.get(service)
        if owner is None:
            owner = Owner(
                self.clock,
                service,
                self.calls.call,
                self.calls.release,
                self.spend,
                self.log,
                self.quarantine,
                self.permissions,
            )
            self.by_service[service] = owner
            self._configure(owner)
        return owner

    def configure(self):
        """Apply the current configuration and registry to all queues."""
        for owner in self.by_service.values():
            self._configure(owner)

    def withdraw(self, fingerprint):
        """Refuse the waiting pieces of a request that crashes upstreams."""
        for owner in self.by_service.values():
            owner.withdraw(fingerprint)

    def update_limits(self, service):
        """Apply changed rates, rests or tokens to the queue of a service."""
        owner = self.by_service.get(service)
        if owner is not None:
            owner.call_limits.update(owner.workers.values())
            owner.dispatcher.schedule()

    def waiting(self):
        """Return the number of pieces that wait in all queues."""
        return sum(len(owner.waiting) for owner in self.by_service.values())

    def open_promises(self):
        """Return the number of promised return times that lie ahead."""
        now = self.clock.seconds()
        return sum(returns.count_open(now) for returns in self._all_returns())

    def kept_promises(self):
        """Return the callers that were admitted at their promised times."""
        return sum(returns.kept for returns in self._all_returns())

    def offered(self):
        """Return the pieces offered to graded queues, by urgency."""
        return self._totals('offered')

    def admitted(self):
        """Return the pieces admitted to graded queues, by urgency."""
        return self._totals('admitted')

    def is_busy(self):
        """Return whether any group is unfinished."""
        return any(owner.jobs for owner in self.by_service.values())

    def _all_returns(self):
        return [
            owner.returns
            for owner in self.by_service.values()
            if owner.returns is not None
        ]

    def _totals(self, name):
        totals = Counter()
        for owner in self.by_service.values():
            if owner.shares is not None:
                totals.update(getattr(owner.shares, name))
        return totals

    def _rate_changed(self, name, before):
        for service in self.by_service:
            self.update_limits(service)

    def _configure(self, owner):
        table = self.configuration.table
        service = table.services.get(owner.service) if table else None
        if service is None or service.stage is None:
            return
        graded = self.graded.is_graded(table, owner.service)
        owner.configure(
            service.stage,
            self.registry.stage_upstreams(owner.service),
            graded=graded,
            promises=graded and self.return_times,
        )
