"""Quarantine of requests that crash the upstreams that run them."""

from pollenstile.quarantine._evidence import Crash, Evidence
from pollenstile.quarantine._fingerprint import fingerprint, part_fingerprints
from pollenstile.quarantine._partproofs import PartProofs
from pollenstile.quarantine._quarantine import HELD_REASON, Quarantine, unix_ms
from pollenstile.quarantine._recentevidence import RecentEvidence
from pollenstile.quarantine._record import QUARANTINE_KIND, VerdictRecorder
from pollenstile.quarantine._sharing import VerdictSharing
from pollenstile.quarantine._types import (
    PartProof,
    QuarantineUpdate,
    Report,
    Suspect,
    Verdict,
)
from pollenstile.quarantine._verdict import (
    Attribution,
    attribute_crashes,
    poisson_tail,
)
from pollenstile.quarantine._verdicts import HOLD_SECONDS, Verdicts
