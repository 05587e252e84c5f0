"""What operators declare: model, decoding and checks."""

from pollenstile.manifest._decode import (
    manifest_from_text,
    manifest_schema,
    text_from_manifest,
)
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
