"""What the evidence of a host says about the suspects of a new report."""

from pollenstile.quarantine._verdict import (
    MIN_CRASHES,
    Attribution,
    attribute_crashes,
)


def judge(quarantine, report):
    """Return the attributions that a new report of a crash leads to.

    Parameters
    ==========

    quarantine : Quarantine
        Its evidence has the report already.
    report : Report
        The new report.

    Returns
    =======

    list of Attribution
    """
    renewed = _renewed(quarantine, report)
    if renewed:
        return renewed
    crashes = quarantine.evidence.crashes_of(report.service)
    suspected = [
        fingerprint
        for fingerprint in _suspected(report)
        if quarantine.evidence.crash_count(fingerprint) >= MIN_CRASHES
        and _can_be_told(quarantine.proofs, crashes, fingerprint)
    ]
    if not suspected:
        return []
    return attribute_crashes(
        suspected,
        crashes,
        quarantine.count_upstreams(report.service),
        quarantine.clock.seconds(),
        quarantine.verdicts.held_fingerprints(),
    )


def _renewed(quarantine, report):
    """Return attributions to what was in quarantine until some time ago.

    Explanation
    ===========

    It was released because its time was over, and not because it was answered.
    Each try costs an upstream with all that it runs, so one is enough.
    """
    lapsed = quarantine.verdicts.lapsed
    if not lapsed:
        return []
    crash = quarantine.evidence.crashes[report.incarnation]
    return [
        Attribution(
            crash.suspects[fingerprint],
            quarantine.evidence.crash_count(fingerprint),
            chance=0.0,
            is_part=fingerprint in crash.requests,
        )
        for fingerprint in _suspected(report)
        if fingerprint in lapsed and fingerprint in crash.suspects
    ]


def explained_by(quarantine, part):
    """Return those fingerprints in quarantine that a part explains.

    Explanation
    ===========

    Requests that ran beside others with the part may have been blamed before
    it was. Without the crashes under the part too few are left.

    Parameters
    ==========

    quarantine : Quarantine
        Quarantine state of this host.
    part : str
        Fingerprint of a part that has been blamed.
    """
    incarnations = quarantine.evidence.incarnations
    under_part = incarnations.get(part, set())
    explained = []
    for fingerprint in quarantine.verdicts.held_fingerprints():
        crashed = incarnations.get(fingerprint, set())
        if fingerprint == part or not crashed:
            continue
        if len(crashed - under_part) < MIN_CRASHES:
            explained.append(fingerprint)
    return explained


def _suspected(report):
    """Return the fingerprints of a report: requests, then parts, later first.

    Explanation
    ===========

    Of two parts that always came together the later one is blamed. The earlier
    one is the head of more prompts.
    """
    requests = [suspect.fingerprint for suspect in report.suspects]
    parts = [
        part for suspect in report.suspects for part in reversed(suspect.parts)
    ]
    return dict.fromkeys((*requests, *parts))


def _can_be_told(proofs, crashes, fingerprint):
    """Return whether answers of the service went on without a suspect part."""
    under_part = [crash for crash in crashes if fingerprint in crash.requests]
    if not under_part:
        return True
    first = min(crash.at for crash in under_part)
    return proofs.works_since(under_part[0].service, first)
