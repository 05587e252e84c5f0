"""Conditions of engines: what they report, and how fast they are."""

from pollenstile.conditions._conditions import EngineConditions, usual_time
from pollenstile.conditions._estimates import (
    SpeedEstimates,
    SpeedRow,
    incarnation_key,
)
from pollenstile.conditions._codec import (
    SpeedMessage,
    decode_answer,
    decode_ask,
    encode_answer,
    encode_ask,
)
from pollenstile.conditions._load import LoadReport, parse_load
from pollenstile.conditions._sharing import CONDITIONS_SUBJECT, ConditionSharing
