"""What is wrong with a manifest, and where."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Mistake:
    """One thing wrong with a manifest.

    Parameters
    ==========

    path : str
        Where it stands, ``'pipelines.draft.stages.0.pool'``.
    text : str
        What is wrong.
    """

    path: str
    text: str


class ManifestError(Exception):
    """A manifest has mistakes; ``mistakes`` lists every one."""

    def __init__(self, mistakes):
        super().__init__(
            '; '.join(f'{one.path}: {one.text}' for one in mistakes),
        )
        self.mistakes = tuple(mistakes)
