"""Which code a process runs."""

import hashlib
import os
import pathlib
import sys

import msgspec
import twisted

_DIGEST_CHARACTERS = 12


def running_code(*modules):
    """Return what identifies the code that a process runs, for its log.

    Parameters
    ==========

    modules : tuple of str
        Names of modules; all loaded modules of their packages count.

    Returns
    =======

    dict
        ``code``, the start of a SHA-256 digest over the names and the texts of
        the modules; ``python``, ``msgspec`` and ``twisted``, their versions;
        ``machine``, the kind of processor.

    Examples
    ========

    >>> from pollenstile.ops.sources import running_code
    >>> len(running_code('pollenstile.ops.sources')['code'])
    12
    >>> running_code('pollenstile') == running_code('pollenstile')
    True
    """
    packages = {name.partition('.')[0] for name in modules}
    digest = hashlib.sha256()
    for name in sorted(sys.modules):
        path = getattr(sys.modules[name], '__file__', None)
        if name.partition('.')[0] not in packages or not path:
            continue
        digest.update(name.encode())
        digest.update(_text_of(path))
    return {
        'code': digest.hexdigest()[:_DIGEST_CHARACTERS],
        'python': sys.version.split()[0],
        'msgspec': msgspec.__version__,
        'twisted': twisted.__version__,
        'machine': os.uname().machine,
    }


def _text_of(path):
    try:
        return pathlib.Path(path).read_bytes()
    except OSError:
        # Only the program itself needs its files again.
        return b''
