"""Mistakes of a manifest and the error that reports them."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Mistake:
    """One validation error of a manifest.

    Parameters
    ==========

    path : str
        Path of the field, such as ``'pipelines.draft.stages.0.pool'``.
    text : str
        Description of the error.
    reads : tuple of str
        Paths of the other fields that the check used.
    """

    path: str
    text: str
    reads: tuple[str, ...] = ()


class ManifestError(Exception):
    """Raised for an invalid manifest; ``mistakes`` lists every mistake."""

    def __init__(self, mistakes):
        super().__init__(
            '; '.join(
                f'{mistake.path}: {mistake.text}' for mistake in mistakes
            ),
        )
        self.mistakes = tuple(mistakes)


def _is_within(path, broken):
    """Return whether a path or one of its parents is in ``broken``."""
    parts = path.split('.')
    for count, _ in enumerate(parts, start=1):
        if '.'.join(parts[:count]) in broken:
            return True
    return False


def independent_mistakes(mistakes, broken):
    """Return the mistakes that don't depend on fields that failed to decode.

    Explanation
    ===========

    A placeholder replaces each field that fails to decode, so that the other
    fields can be checked in the same run. A mistake derived from a placeholder
    says nothing about the document and is omitted.

    Parameters
    ==========

    mistakes : list of Mistake
    broken : set of str
        Paths of the fields that failed to decode.

    Examples
    ========

    >>> unknown = Mistake('pipelines.a.stages.0.pool', 'unknown', ('pools',))
    >>> independent_mistakes([unknown], {'pools'})
    []
    >>> len(independent_mistakes([unknown], {'pools.encoders.kind'}))
    1
    """
    independent = []
    for mistake in mistakes:
        used_paths = (mistake.path, *mistake.reads)
        if any(_is_within(path, broken) for path in used_paths):
            continue
        independent.append(mistake)
    return independent
