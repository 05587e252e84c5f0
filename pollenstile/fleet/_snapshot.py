"""One version of the configuration, ready for use."""

from pollenstile.manifest import manifest_digest

_BUCKET = 4


class Snapshot:
    """A manifest in force and what is looked up in it often.

    Parameters
    ==========

    version : int
        The object API's version of the manifest.
    manifest : Manifest
        Decoded and checked.

    Examples
    ========

    >>> from pollenstile.fleet import Snapshot
    >>> from pollenstile.manifest import Manifest, Team
    >>> team = Team(key_digests=['abcdef'])
    >>> manifest = Manifest('demo', {}, {}, {}, {'dispatch': team})
    >>> Snapshot(3, manifest).candidates('abcd00')
    [('abcdef', 'dispatch')]
    """

    __slots__ = ('buckets', 'digest', 'manifest', 'version')

    def __init__(self, version, manifest):
        self.version = version
        self.manifest = manifest
        self.digest = manifest_digest(manifest)
        self.buckets = {}
        for name, team in manifest.teams.items():
            for digest in team.key_digests:
                bucket = self.buckets.setdefault(digest[:_BUCKET], [])
                bucket.append((digest, name))

    def candidates(self, digest):
        """Return digests and teams that share a digest's first characters."""
        return self.buckets.get(digest[:_BUCKET], [])
