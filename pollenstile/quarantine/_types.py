"""What hosts tell each other of crashes, and what follows from them."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Suspect:
    """A request that was under way where a process ended.

    Parameters
    ==========

    fingerprint : str
        Of its content.
    team : str
        Who sent it; empty on public routes.
    ran : float
        Seconds for which it had run there, at most.
    """

    fingerprint: str
    team: str = ''
    run_seconds: float = 0.0


@dataclass(slots=True, frozen=True)
class Report:
    """One host's word on a process that has ended.

    Parameters
    ==========

    incarnation, service : str
        Which process.
    host : str
        Who reports it.
    suspects : tuple of Suspect
        What that host had there.
    """

    incarnation: str
    service: str
    host: str
    suspects: tuple[Suspect, ...]


@dataclass(slots=True, frozen=True)
class Verdict:
    """Whether a request is kept from upstreams.

    Parameters
    ==========

    fingerprint, team, service : str
        Of the request.
    crashes : int
        Processes that had ended under it.
    changed : int
        Unix milliseconds of this word; of two the later one holds.
    is_held : bool
        Whether it is in quarantine, or was released from it.
    ends : float
        On this host's clock: when the word is forgotten.
    """

    fingerprint: str
    team: str
    service: str
    crashes: int
    changed: int
    is_held: bool
    ends: float


@dataclass(slots=True, frozen=True)
class News:
    """What one host tells another.

    Parameters
    ==========

    reports : tuple of Report
    alive : tuple of str
        Incarnations that answer, so that reports of them are void.
    cleared : tuple of str
        Fingerprints of requests that ran to their end.
    verdicts : tuple of Verdict
    """

    reports: tuple[Report, ...] = ()
    alive: tuple[str, ...] = ()
    cleared: tuple[str, ...] = ()
    verdicts: tuple[Verdict, ...] = ()

    def is_empty(self):
        """Return whether nothing is told."""
        told = self.reports or self.alive or self.cleared or self.verdicts
        return not told


def joined(parts):
    """Return one :class:`News` of several, each thing once."""
    return News(
        tuple(dict.fromkeys(one for part in parts for one in part.reports)),
        tuple(dict.fromkeys(one for part in parts for one in part.alive)),
        tuple(dict.fromkeys(one for part in parts for one in part.cleared)),
        tuple(dict.fromkeys(one for part in parts for one in part.verdicts)),
    )
