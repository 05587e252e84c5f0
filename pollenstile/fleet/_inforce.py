"""The configuration in force at one host."""

from dataclasses import dataclass

from pollenstile.fleet import events
from pollenstile.fleet._snapshot import Snapshot
from pollenstile.manifest import ManifestError, manifest_from_text
from pollenstile.platform import era_of


@dataclass(slots=True, frozen=True)
class Lineage:
    """Marks of the write of a version and of those before it.

    Parameters
    ==========

    mark : str
        Mark of the write; empty if its writer leaves none.
    history : tuple of str
        Marks of the last writes, which its writer had read, and its own one.
    """

    mark: str = ''
    history: tuple = ()


class InForce:
    """The highest valid version that this host has received.

    Explanation
    ===========

    Versions arrive from reads, watches and peers, late and in any order. A
    version is accepted only if it is higher than the one in force and
    validates, so that late updates never restore an older version. After a
    return of the store from an older copy, the version of the copy is higher;
    it is refused if the one in force was written after it.

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
    lineage : Lineage
        Marks of the version in force.
    listeners : list of function
        Called with each new snapshot.
    """

    __slots__ = (
        'lineage',
        'listeners',
        'log',
        'refused',
        'snapshot',
        'text',
    )

    def __init__(self, log):
        self.log = log
        self.snapshot = None
        self.text = ''
        self.refused = 0
        self.lineage = Lineage()
        self.listeners = []

    @property
    def version(self):
        """The version in force; 0 before there is one."""
        return self.snapshot.version if self.snapshot else 0

    def offer(self, version, text, source, lineage=None):
        """Accept a version if it is higher and valid; return whether it was.

        Parameters
        ==========

        version : int
            The object API's version.
        text : str
            The manifest's document.
        source : str
            Origin of the version, for the log.
        lineage : Lineage or None
            Marks of the version, if they are known.
        """
        if version <= max(self.version, self.refused):
            return False
        lineage = lineage or Lineage()
        if self._is_replaced(version, lineage):
            self.refused = version
            self.log(
                events.CONFIG_KEPT,
                level='warning',
                version=self.version,
                refused=version,
                source=source,
            )
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
        self.lineage = lineage
        self.log(
            events.CONFIG_IN_FORCE,
            version=version,
            digest=self.snapshot.digest,
            source=source,
        )
        for listener in self.listeners:
            listener(self.snapshot)
        return True

    def _is_replaced(self, version, lineage):
        """Return whether the version in force has replaced one of a copy."""
        if era_of(version) <= era_of(self.version):
            return False
        own = self.lineage
        return lineage.mark != own.mark and lineage.mark in own.history
