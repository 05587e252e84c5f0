"""Records of a run, and violations detected while it is in progress."""

from pollenstile.pipeline import events as pipeline_events
from pollenstile.soak import events

# Seconds after which an upstream that reports leaving gets no new calls.
LEAVING_GRACE_SECONDS = 3.0


class Violation:
    """One violated invariant."""

    __slots__ = ('fields', 'name', 'subject')

    def __init__(self, name, subject, fields):
        self.name = name
        self.subject = subject
        self.fields = fields

    def __str__(self):
        return f'{self.name} {self.subject} {self.fields}'


class Records:
    """Records of a run.

    Parameters
    ==========

    trace : Trace
        Trace of the run, which also records violations.
    log : function
        Log function for events.

    Attributes
    ==========

    finished : dict
        How often each request was finished, by identifier.
    leaving_since : dict
        Time at which each leaving upstream began to report it.
    calm : bool
        Whether there are no other faults, so that every host must have
        detected that an upstream is leaving.
    sound : bool
        Whether nothing befalls the upstreams but that they stand still.
    violations : list of Violation
        Violations found so far.
    """

    __slots__ = (
        'calm',
        'finished',
        'leaving_since',
        'log',
        'sound',
        'trace',
        'violations',
    )

    def __init__(self, trace, log):
        self.trace = trace
        self.log = log
        self.finished = {}
        self.leaving_since = {}
        self.calm = False
        self.sound = False
        self.violations = []

    def violate(self, name, subject, /, **fields):
        """Record and log a violation."""
        self.violations.append(Violation(name, subject, fields))
        self.trace.note('VIOLATION', invariant=name, subject=subject, **fields)
        self.trace.mark()
        self.log(
            events.SOAK_VIOLATION,
            level='error',
            invariant=name,
            subject=subject,
            **fields,
        )

    def check_event(self, host, event, fields):
        """Check a log event of a host for violations."""
        if event is pipeline_events.INVARIANT_BROKEN:
            self.violate(fields['invariant'], fields['request'])
        if event is not pipeline_events.FINISHED:
            return
        ident = fields['request']
        self.finished[ident] = self.finished.get(ident, 0) + 1
        if self.finished[ident] > 1:
            self.violate('finished-twice', ident)

    def check_call(self, host, upstream, call):
        """Check that a call is not sent to a leaving upstream."""
        since = self.leaving_since.get(upstream)
        if since is None:
            return
        now = host.process.seconds()
        # A host that was frozen receives the report only after it resumes.
        if host.process.freeze_times:
            since = max(since, host.process.freeze_times[-1])
        if now - since <= LEAVING_GRACE_SECONDS:
            return
        if self.calm or host.has_leaving_report(upstream):
            self.violate('sent-to-leaving', call.attempt, peer=upstream)
