"""One version of the configuration, ready for use."""


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
    >>> team = Team(key_digests=['ab'])
    >>> manifest = Manifest('demo', {}, {}, {}, {'dispatch': team})
    >>> Snapshot(3, manifest).team_of_digest
    {'ab': 'dispatch'}
    """

    __slots__ = ('manifest', 'team_of_digest', 'version')

    def __init__(self, version, manifest):
        self.version = version
        self.manifest = manifest
        self.team_of_digest = {}
        for name, team in manifest.teams.items():
            for digest in team.key_digests:
                self.team_of_digest[digest] = name
