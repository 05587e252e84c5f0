"""An accepted request, as the pipeline's code sees it."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Request:
    """What a caller asked, under the configuration it was admitted under.

    Parameters
    ==========

    ident : str
        Unique over all hosts and time.
    name : str
        The pipeline's name.
    snapshot : Snapshot
        Configuration that holds for the whole request.
    team : str
        The caller.
    content : object
        The caller's input, of JSON's types.
    deadline : float
        On the host's clock, in seconds.
    key : str
        Idempotency key; empty when the caller gave none.
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
        """The declared pipeline."""
        return self.snapshot.manifest.pipelines[self.name]
