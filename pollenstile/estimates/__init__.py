"""Figures that a host learns from what it sees."""

from pollenstile.estimates._fetching import Fetching
from pollenstile.estimates._firsttoken import FirstTokens
from pollenstile.estimates._linear import LinearFit
