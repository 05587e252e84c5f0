"""The configuration in force at one host."""

from pollenstile.fleet import events
from pollenstile.fleet._snapshot import Snapshot
from pollenstile.manifest import ManifestError, manifest_from_text


class InForce:
    """The highest valid version that this host has seen.

    Explanation
    ===========

    Versions come from reads, watches and peers, late and in any order. A
    version is taken only if it is higher than the one in force and validates;
    nothing takes the host back, however old news arrives.

    Parameters
    ==========

    log : function
        Writes events.
    """

    __slots__ = ('listeners', 'log', 'refused', 'snapshot', 'text')

    def __init__(self, log):
        self.log = log
        self.snapshot = None
        self.text = ''
        self.refused = 0
        self.listeners = []

    @property
    def version(self):
        """The version in force, 0 before there is one."""
        return self.snapshot.version if self.snapshot else 0

    def offer(self, version, text, source):
        """Take a version if it is higher and valid; return whether it was.

        Parameters
        ==========

        version : int
            The object API's version.
        text : str
            The manifest's document.
        source : str
            Where it came from, for the log.
        """
        if version <= max(self.version, self.refused):
            return False
        try:
            manifest = manifest_from_text(text)
        except ManifestError as error:
            self.refused = version
            self.log(
                events.CONFIG_INVALID,
                level='error',
                version=version,
                source=source,
                reason=str(error),
            )
            return False
        self.snapshot = Snapshot(version, manifest)
        self.text = text
        self.log(
            events.CONFIG_IN_FORCE,
            version=version,
            digest=self.snapshot.digest,
            source=source,
        )
        for listener in self.listeners:
            listener(self.snapshot)
        return True
