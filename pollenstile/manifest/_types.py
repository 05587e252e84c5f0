"""Types and permitted ranges of the manifest's fields.

Explanation
===========

Ranges are part of the types, so that decoding and the JSON Schema agree. The
patterns of names and key digests are used by the schema only; when a document
is decoded, :mod:`pollenstile.manifest._names` and
:mod:`pollenstile.manifest._keys` check them and give clearer messages.
"""

from typing import Annotated, Literal

from pydantic import Field, WithJsonSchema

NAME_PATTERN = '^[a-z0-9-]{1,63}$'
DIGEST_PATTERN = '^[0-9a-f]{64}$'
HOUR_MS = 3_600_000
MONTH_S = 2_592_000

PoolKind = Literal['engine', 'stage', 'service']
Urgency = Literal['urgent', 'normal', 'batch']
Fencing = Literal['checked', 'ignored']

Name = Annotated[
    str,
    WithJsonSchema({'type': 'string', 'pattern': NAME_PATTERN}),
]
Digest = Annotated[
    str,
    WithJsonSchema({'type': 'string', 'pattern': DIGEST_PATTERN}),
]
Text = Annotated[str, Field(min_length=1, max_length=253)]
Count = Annotated[int, Field(ge=1, le=1_000_000_000)]
Attempts = Annotated[int, Field(ge=1, le=5)]
Milliseconds = Annotated[int, Field(ge=1, le=HOUR_MS)]
WindowSeconds = Annotated[int, Field(ge=1, le=MONTH_S)]
Weight = Annotated[float, Field(gt=0)]
Cost = Annotated[float, Field(ge=0)]
Ratio = Annotated[float, Field(ge=0, le=1)]
