"""Formatter of behave that keeps why scenarios failed.

Explanation
===========

The progress formatter names no step and no message. This one writes a line of
JSON for each failed step, so that a failure that shows once can be traced::

    behave --format tools.failures:FailureFormatter --outfile failures.jsonl
"""

import json

from behave.formatter.base import Formatter

# The end of a message has the assertion; hundreds of log lines may precede it.
_MAX_MESSAGE_CHARACTERS = 4000


class FailureFormatter(Formatter):
    """Formatter that writes a line for each failed step.

    Attributes
    ==========

    running : behave.model.Scenario or None
        Scenario whose steps are reported.
    """

    name = 'failures'
    description = 'Writes a line of JSON for each failed step.'

    def __init__(self, stream_opener, config):
        super().__init__(stream_opener, config)
        self.stream = self.open()
        self.running = None

    def scenario(self, scenario):
        """Take a scenario that begins."""
        self.running = scenario

    def result(self, step):
        """Write a line if a step has failed."""
        if not step.status.has_failed():
            return
        message = step.error_message or step.status.name
        failure = {
            'location': str(self.running.location),
            'name': self.running.name,
            'step': step.name,
            'message': message[-_MAX_MESSAGE_CHARACTERS:],
        }
        self.stream.write(f'{json.dumps(failure)}\n')
        self.stream.flush()
