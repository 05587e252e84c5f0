"""The configuration in force at one host."""

from pollenstile.fleet import events
from pollenstile.fleet._snapshot import Snapshot
from pollenstile.manifest import ManifestError, manifest_from_text


class InForce:
    """The highest valid version that this host has received.

    Explanation
    ===========

    Versions arrive from reads, watches and peers, late and in any order. A
    version is accepted only if it is higher than the one in force and
    validates, so that late updates never restore an older version.

    Parameters
    ==========

    log : function
        Writes events.

    Attributes
    ==========

    snapshot : Snapshot or None
        The version in force.
    text : str
        The manifest's document.
    refused : int
        Highest version that did not validate.
    listeners : list of function
        Called with each new snapshot.
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
        """The version in force; 0 before there is one."""
        return self.snapshot.version if self.snapshot else 0

    def offer(self, version, text, source):
        """Accept a version if it is higher and valid; return whether it was.

        Parameters
        ==========

        version : int
            The object API's version.
        text : str
            The manifest's document.
        source : str
            Origin of the version, for the log.
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
