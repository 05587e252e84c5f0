"""Crash reports, verdicts and the updates that hosts exchange about them."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Suspect:
    """A request that was in flight at a process when it crashed.

    Parameters
    ==========

    fingerprint : str
        Fingerprint of the request.
    team : str
        The calling team; empty on public routes.
    run_seconds : float
        Upper bound of the time for which it had run there.
    parts : tuple of str
        Fingerprints of those parts of its prompt that other requests may share.
    """

    fingerprint: str
    team: str = ''
    run_seconds: float = 0.0
    parts: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class Report:
    """One host's report of a crashed process.

    Parameters
    ==========

    incarnation, service : str
        The process, and the service that it belongs to.
    host : str
        The reporting host.
    suspects : tuple of Suspect
        Requests that the reporting host had in flight there.
    """

    incarnation: str
    service: str
    host: str
    suspects: tuple[Suspect, ...]


@dataclass(slots=True, frozen=True)
class PartProof:
    """A prompt part on which an upstream of a service has answered.

    Parameters
    ==========

    part, service : str
        Fingerprint of the part, and the service.
    """

    part: str
    service: str


@dataclass(slots=True, frozen=True)
class Verdict:
    """Whether a request, or all with a prompt part, is kept from upstreams.

    Parameters
    ==========

    fingerprint, team, service : str
        The request or the part, a team that sent it and the service that it
        crashed.
    crashes : int
        Number of processes that crashed while running it.
    changed : int
        Unix milliseconds of the decision; the later of two verdicts wins.
    is_held : bool
        True while the request is in quarantine, False after its release.
    expires_at : float
        Local clock time at which the verdict is dropped.
    is_part : bool
        Whether the fingerprint is that of a prompt part.
    """

    fingerprint: str
    team: str
    service: str
    crashes: int
    changed: int
    is_held: bool
    expires_at: float
    is_part: bool = False


@dataclass(slots=True, frozen=True)
class QuarantineUpdate:
    """Reports and verdicts that one host sends to another.

    Parameters
    ==========

    reports : tuple of Report
        New reports of crashes.
    alive : tuple of str
        Incarnations that answer requests, so that reports of their crash are
        void.
    cleared : tuple of str
        Fingerprints of requests that ran to completion.
    verdicts : tuple of Verdict
        New verdicts, or all verdicts of the sender.
    proofs : tuple of PartProof
        Suspect prompt parts on which upstreams have answered.
    """

    reports: tuple[Report, ...] = ()
    alive: tuple[str, ...] = ()
    cleared: tuple[str, ...] = ()
    verdicts: tuple[Verdict, ...] = ()
    proofs: tuple[PartProof, ...] = ()

    def is_empty(self):
        """Return whether the update holds nothing."""
        entries = self.reports or self.alive or self.cleared or self.verdicts
        return not (entries or self.proofs)


def merge_updates(updates):
    """Return one update with the distinct entries of several."""
    return QuarantineUpdate(
        _distinct(part.reports for part in updates),
        _distinct(part.alive for part in updates),
        _distinct(part.cleared for part in updates),
        _distinct(part.verdicts for part in updates),
        _distinct(part.proofs for part in updates),
    )


def _distinct(groups):
    """Return the distinct entries of several groups, in order."""
    return tuple(dict.fromkeys(entry for group in groups for entry in group))
