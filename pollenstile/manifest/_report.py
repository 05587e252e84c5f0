"""What `pollenstile validate` says of a document."""

from pollenstile.manifest._addresses import bare_domains
from pollenstile.manifest._decode import manifest_from_text
from pollenstile.manifest._mistake import ManifestError

EXIT_OK = 0
EXIT_MISTAKES = 2


def _printable(text):
    """Return a text on one line, whatever names a document holds."""
    shown = []
    for character in text:
        if character.isprintable():
            shown.append(character)
            continue
        shown.append(character.encode('unicode_escape').decode())
    return ''.join(shown)


def _lines(path, mistakes, label=''):
    lines = []
    for one in mistakes:
        lines.append(_printable(f'{path}: {one.path}: {label}{one.text}'))
    return lines


def _counts(manifest):
    upstreams = sum(len(pool.upstreams) for pool in manifest.pools.values())
    return (
        f'{len(manifest.pipelines)} pipelines, {len(manifest.pools)} pools,'
        f' {upstreams} upstreams, {len(manifest.teams)} teams'
    )


def manifest_warnings(manifest):
    """Return what a manifest may say, but operators should know of.

    Returns
    =======

    list of Mistake
        The manifest is served all the same.
    """
    return bare_domains(manifest)


def report_lines(path, text):
    """Return the lines and the exit code for one document.

    Parameters
    ==========

    path : str
        The document's name, for the lines.
    text : str or bytes
        Its content.

    Returns
    =======

    tuple
        List of str and int: ``PATH: FIELD: TEXT`` for each mistake and 2, or
        warnings, ``PATH: ok (...)`` and 0.
    """
    try:
        manifest = manifest_from_text(text)
    except ManifestError as error:
        return _lines(path, error.mistakes), EXIT_MISTAKES
    warnings = _lines(path, manifest_warnings(manifest), 'warning: ')
    return [*warnings, f'{path}: ok ({_counts(manifest)})'], EXIT_OK
