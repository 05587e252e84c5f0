"""Builders of quarantine verdicts."""

from pollenstile.quarantine import QuarantineUpdate, Verdict


def verdict(fingerprint, changed=1, expires_at=600.0, *, is_held=True):
    """Return a verdict on a request."""
    return Verdict(
        fingerprint,
        'team',
        's',
        3,
        changed,
        is_held=is_held,
        expires_at=expires_at,
    )


def apply_verdicts(quarantine, *verdicts):
    """Apply verdicts as if a peer had sent them."""
    quarantine.apply(QuarantineUpdate(verdicts=verdicts))
