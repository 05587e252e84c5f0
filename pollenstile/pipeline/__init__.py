"""Execution of a pipeline request: stages, deadlines, attempts, outcomes."""

from pollenstile.outcomes import Answered, Failed, Refused, Unknown
from pollenstile.pipeline._core import Core
from pollenstile.pipeline._ledger import Ledger
from pollenstile.pipeline._request import Request
from pollenstile.pipeline._run import run_request
