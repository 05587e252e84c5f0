"""Online estimates from measurements of a host."""

from pollenstile.estimates._fetching import Fetching
from pollenstile.estimates._firsttoken import FirstTokens
from pollenstile.estimates._linear import LinearFit
