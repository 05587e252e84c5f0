"""Whether the process that has closed a connection lives on."""

from pollenstile.closes._asking import AskingFactory, Question
from pollenstile.closes._checks import CloseChecks
from pollenstile.closes._pauses import ReadPauses
from pollenstile.closes._probe import ProbeFactory, ProbeResult
