"""Ranges of decoded numbers, which fit into all messages between hosts."""

from typing import Annotated

import msgspec

# How many there are of something.
Count = Annotated[int, msgspec.Meta(ge=1, le=2**32 - 1)]
# A version, a place in an order, or a time in milliseconds.
Ordinal = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
# A duration in milliseconds.
Duration = Annotated[float, msgspec.Meta(le=2.0**32)]
