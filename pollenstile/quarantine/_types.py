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
class Verdict:
    """Whether a request is kept from upstreams.

    Parameters
    ==========

    fingerprint, team, service : str
        The request, its team and the service that it crashed.
    crashes : int
        Number of processes that crashed while running it.
    changed : int
        Unix milliseconds of the decision; the later of two verdicts wins.
    is_held : bool
        True while the request is in quarantine, False after its release.
    expires_at : float
        Local clock time at which the verdict is dropped.
    """

    fingerprint: str
    team: str
    service: str
    crashes: int
    changed: int
    is_held: bool
    expires_at: float


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
    """

    reports: tuple[Report, ...] = ()
    alive: tuple[str, ...] = ()
    cleared: tuple[str, ...] = ()
    verdicts: tuple[Verdict, ...] = ()

    def is_empty(self):
        """Return whether the update holds nothing."""
        entries = self.reports or self.alive or self.cleared or self.verdicts
        return not entries


def merge_updates(updates):
    """Return one update with the distinct entries of several."""
    return QuarantineUpdate(
        tuple(
            dict.fromkeys(entry for part in updates for entry in part.reports)
        ),
        tuple(dict.fromkeys(entry for part in updates for entry in part.alive)),
        tuple(
            dict.fromkeys(entry for part in updates for entry in part.cleared)
        ),
        tuple(
            dict.fromkeys(entry for part in updates for entry in part.verdicts)
        ),
    )
