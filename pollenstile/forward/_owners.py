"""This host's queues of stage services."""

from pollenstile.ops.logs import silent_log
from pollenstile.stagework import Owner


class StageOwners:
    """Queues by service, made when first asked for.

    Parameters
    ==========

    clock : IReactorTime
        Of the queues.
    registry : Registry
        Upstreams of the services.
    configuration : Configuration
        Limits of the services.
    calls : StageCalls
        Makes the calls.
    spend : function
        See :class:`~pollenstile.stagework.Owner`.
    quarantine : Quarantine
        Requests that crash upstreams.

    Attributes
    ==========

    by_service : dict
        The queues.
    """

    __slots__ = (
        'by_service',
        'calls',
        'clock',
        'configuration',
        'log',
        'quarantine',
        'registry',
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
        log=silent_log,
    ):
        self.clock = clock
        self.registry = registry
        self.configuration = configuration
        self.calls = calls
        self.spend = spend
        self.quarantine = quarantine
        self.log = log
        self.by_service = {}
        quarantine.on_held = self.withdraw

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
            )
            self.by_service[service] = owner
            self._configure(owner)
        return owner

    def configure(self):
        """Take what configuration and registry say now."""
        for owner in self.by_service.values():
            self._configure(owner)

    def withdraw(self, content):
        """Refuse what waits of a request that crashes upstreams."""
        for owner in self.by_service.values():
            owner.withdraw(content)

    def waiting(self):
        """Return how many pieces wait in all queues."""
        return sum(len(owner.waiting) for owner in self.by_service.values())

    def is_busy(self):
        """Return whether any group is not finished."""
        return any(owner.jobs for owner in self.by_service.values())

    def _configure(self, owner):
        table = self.configuration.table
        service = table.services.get(owner.service) if table else None
        if service is None or service.stage is None:
            return
        owner.configure(
            service.stage,
            self.registry.stage_upstreams(owner.service),
        )
