"""Data classes, decoding and validation of the operators' manifest."""

from pollenstile.manifest._decode import (
    manifest_digest,
    manifest_from_text,
    text_from_manifest,
)
from pollenstile.manifest._diff import Change, diff_lines, manifest_diff
from pollenstile.manifest._mistake import ManifestError, Mistake
from pollenstile.manifest._model import (
    Domain,
    Manifest,
    Model,
    Pipeline,
    Policy,
    Pool,
    Stage,
    Team,
    Upstream,
)
from pollenstile.manifest._reference import manifest_reference
from pollenstile.manifest._report import manifest_warnings, report_lines
from pollenstile.manifest._schema import manifest_schema
from pollenstile.manifest._traversal import stage_needs
