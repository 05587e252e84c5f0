"""Builders of a request to engines that move shared prompt parts."""

from features.builders.forward import SERVICE, ForwardScenario
from pollenstile.ops.rendezvous import rendezvous_weight
from pollenstile.routes import PartTransfer, Service

SUBJECT = 'unit'
TRANSFER = PartTransfer(1000, 1e9)
_ENGINES = 24
_TOKENS = 4000


def by_weight(idents, subject=SUBJECT):
    """Return identifiers of engines, the home engine of a subject first."""
    return sorted(
        idents,
        key=lambda ident: rendezvous_weight(subject, ident),
        reverse=True,
    )


class PartScenario(ForwardScenario):
    """A request to six engines in two failure domains."""

    def __init__(self, transfer=TRANSFER):
        self.order = by_weight(f'i{place}' for place in range(_ENGINES))
        # The domain of the home engine has two more engines.
        near = {self.order[place] for place in (0, 2, 4)}
        domains = ''.join(
            'e' if f'i{place}' in near else 'd' for place in range(_ENGINES)
        )
        super().__init__('idempotent', upstreams=_ENGINES, domains=domains)
        self.clock.advance(100)
        self.registry.known = True
        self.change_transfer(transfer)
        self.sizes = ((SUBJECT, _TOKENS), ('own', 60))

    def change_transfer(self, transfer):
        """Put a table in force whose engines move parts as given."""
        self.change(
            services={SERVICE: Service(SERVICE, part_transfer=transfer)}
        )
        self.table = self.core.configuration.table

    def view(self, place):
        """Return the engine at a place of the order for the subject."""
        return self.registry.views[self.order[place]]
