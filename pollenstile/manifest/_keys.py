"""Checks of the teams' key digests."""

import re

from pollenstile.manifest._mistake import Mistake
from pollenstile.manifest._types import DIGEST_PATTERN

_DIGEST = re.compile(DIGEST_PATTERN.replace('$', r'\Z'))


def _each_digest(manifest):
    found = []
    for name, team in manifest.teams.items():
        for place, digest in enumerate(team.key_digests):
            found.append((f'teams.{name}.key_digests.{place}', digest))
    return found


def key_mistakes(manifest):
    """Return a mistake for each digest that is malformed or not unique.

    Explanation
    ===========

    A key that two teams share names neither: requests would be admitted,
    weighed and billed as the team that is found first.
    """
    mistakes = []
    owners = {}
    for path, digest in _each_digest(manifest):
        if not _DIGEST.match(digest):
            text = 'is no SHA-256 in 64 lowercase hexadecimal digits'
            mistakes.append(Mistake(path, text))
            continue
        owner = owners.setdefault(digest, path)
        if owner != path:
            mistakes.append(Mistake(path, f'is the digest at {owner}, too'))
    return mistakes
