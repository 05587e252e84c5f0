"""Checks of the teams' key digests."""

import re

from pollenstile.manifest._mistake import Mistake
from pollenstile.manifest._types import DIGEST_PATTERN

_DIGEST = re.compile(DIGEST_PATTERN.replace('$', r'\Z'))


def _list_digests(manifest):
    digests = []
    for name, team in manifest.teams.items():
        for index, digest in enumerate(team.key_digests):
            digests.append((f'teams.{name}.key_digests.{index}', digest))
    return digests


def key_mistakes(manifest):
    """Return a mistake for each malformed or duplicate key digest.

    Explanation
    ===========

    A key that two teams share identifies neither of them: its requests would
    be admitted, weighted and billed as those of the team found first.
    """
    mistakes = []
    first_paths = {}
    for path, digest in _list_digests(manifest):
        if not _DIGEST.match(digest):
            text = 'is not a SHA-256 digest of 64 lowercase hexadecimal digits'
            mistakes.append(Mistake(path, text))
            continue
        first_path = first_paths.setdefault(digest, path)
        if first_path != path:
            mistakes.append(
                Mistake(path, f'is also the digest at {first_path}')
            )
    return mistakes
