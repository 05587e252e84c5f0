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
    reads : tuple of str
        Paths that it was concluded from besides its own.
    """

    path: str
    text: str
    reads: tuple[str, ...] = ()


class ManifestError(Exception):
    """A manifest has mistakes; ``mistakes`` lists every one."""

    def __init__(self, mistakes):
        super().__init__(
            '; '.join(f'{one.path}: {one.text}' for one in mistakes),
        )
        self.mistakes = tuple(mistakes)


def _is_within(path, broken):
    """Tell whether a path, or a field that holds it, is broken."""
    parts = path.split('.')
    for count, _ in enumerate(parts, start=1):
        if '.'.join(parts[:count]) in broken:
            return True
    return False


def independent_mistakes(mistakes, broken):
    """Return the mistakes that do not follow from broken fields.

    Explanation
    ===========

    A field that does not decode is stood in for by a placeholder, so that the
    rest can be checked in the same run. What is concluded from a placeholder
    says nothing of the document and is left out.

    Parameters
    ==========

    mistakes : list of Mistake
    broken : set of str
        Paths of the fields that did not decode.

    Examples
    ========

    >>> unknown = Mistake('pipelines.a.stages.0.pool', 'unknown', ('pools',))
    >>> independent_mistakes([unknown], {'pools'})
    []
    >>> len(independent_mistakes([unknown], {'pools.encoders.kind'}))
    1
    """
    kept = []
    for mistake in mistakes:
        read = (mistake.path, *mistake.reads)
        if any(_is_within(path, broken) for path in read):
            continue
        kept.append(mistake)
    return kept
