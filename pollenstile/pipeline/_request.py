"""A caller's request for a pipeline."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Request:
    """A decoded request and the configuration that applies to it.

    Parameters
    ==========

    ident : str
        Unique over all hosts and time.
    name : str
        The pipeline's name.
    snapshot : Snapshot
        Configuration that applies until the request ends.
    team : str
        The calling team.
    content : object
        The caller's input, decoded from JSON.
    deadline : float
        Time on the host's clock, in seconds.
    key : str
        Idempotency key; empty if the caller sent none.
    """

    ident: str
    name: str
    snapshot: object
    team: str
    content: object
    deadline: float
    key: str = ''

    @property
    def pipeline(self):
        """The declaration of the requested pipeline."""
        return self.snapshot.manifest.pipelines[self.name]
