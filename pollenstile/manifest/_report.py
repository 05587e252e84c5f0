"""Output and exit code of `pollenstile validate`."""

from pollenstile.manifest._addresses import coverage_warnings
from pollenstile.manifest._decode import manifest_from_text
from pollenstile.manifest._mistake import ManifestError

EXIT_OK = 0
EXIT_MISTAKES = 2


def _escape_unprintable(text):
    """Escape unprintable characters, so that the text stays on one line."""
    parts = []
    for character in text:
        if character.isprintable():
            parts.append(character)
            continue
        parts.append(character.encode('unicode_escape').decode())
    return ''.join(parts)


def _mistake_lines(path, mistakes, label=''):
    lines = []
    for mistake in mistakes:
        lines.append(
            _escape_unprintable(
                f'{path}: {mistake.path}: {label}{mistake.text}',
            ),
        )
    return lines


def _summary(manifest):
    upstreams = sum(len(pool.upstreams) for pool in manifest.pools.values())
    return (
        f'{len(manifest.pipelines)} pipelines, {len(manifest.pools)} pools,'
        f' {upstreams} upstreams, {len(manifest.teams)} teams'
    )


def manifest_warnings(manifest):
    """Return the warnings for a valid manifest.

    Returns
    =======

    list of Mistake
        The manifest is accepted nevertheless.
    """
    return coverage_warnings(manifest)


def report_lines(path, text):
    """Validate a document and return the report's lines and exit code.

    Parameters
    ==========

    path : str
        Name of the document in the report.
    text : str or bytes
        Content of the document.

    Returns
    =======

    tuple
        List of lines and exit code: ``PATH: FIELD: TEXT`` for each mistake and
        2, or the warnings, ``PATH: ok (...)`` and 0.
    """
    try:
        manifest = manifest_from_text(text)
    except ManifestError as error:
        return _mistake_lines(path, error.mistakes), EXIT_MISTAKES
    warnings = _mistake_lines(path, manifest_warnings(manifest), 'warning: ')
    return [*warnings, f'{path}: ok ({_summary(manifest)})'], EXIT_OK
