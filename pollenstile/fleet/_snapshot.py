"""One version of the configuration with an index of its key digests."""

from pollenstile.manifest import manifest_digest

_BUCKET_CHARS = 4


class Snapshot:
    """A manifest in force, indexed for key lookups.

    Parameters
    ==========

    version : int
        The object API's version of the manifest.
    manifest : Manifest
        The decoded, validated manifest.

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
                bucket = self.buckets.setdefault(digest[:_BUCKET_CHARS], [])
                bucket.append((digest, name))

    def candidates(self, digest):
        """Return the (digest, team) pairs with a digest's first characters."""
        return self.buckets.get(digest[:_BUCKET_CHARS], [])
