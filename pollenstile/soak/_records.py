"""What a run saw, and the violations found while it goes on."""

from pollenstile.pipeline import events as pipeline_events
from pollenstile.soak import events

# An upstream that says it is leaving gets nothing new after this time.
LEAVING_SECONDS = 3.0


class Violation:
    """One thing that must never happen."""

    __slots__ = ('fields', 'name', 'subject')

    def __init__(self, name, subject, fields):
        self.name = name
        self.subject = subject
        self.fields = fields

    def __str__(self):
        return f'{self.name} {self.subject} {self.fields}'


class Records:
    """Notes of a run.

    Parameters
    ==========

    trace : Trace
        Takes violations too.
    log : function
        Writes events.

    Attributes
    ==========

    finished : dict
        Request identifier to how often it was finished.
    leaving : dict
        Upstream to when it began to say that it leaves.
    calm : bool
        Whether nothing but leaving goes on, so that every host must know.
    violations : list of Violation
        Found so far.
    """

    __slots__ = ('calm', 'finished', 'leaving', 'log', 'trace', 'violations')

    def __init__(self, trace, log):
        self.trace = trace
        self.log = log
        self.finished = {}
        self.leaving = {}
        self.calm = False
        self.violations = []

    def violate(self, name, subject, /, **fields):
        """Note a violation."""
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

    def logged(self, host, event, fields):
        """Look at an event of a host."""
        if event is pipeline_events.INVARIANT_BROKEN:
            self.violate(fields['invariant'], fields['request'])
        if event is not pipeline_events.FINISHED:
            return
        ident = fields['request']
        self.finished[ident] = self.finished.get(ident, 0) + 1
        if self.finished[ident] > 1:
            self.violate('finished-twice', ident)

    def sent(self, host, upstream, call):
        """Look at a call that a host sends."""
        since = self.leaving.get(upstream)
        if since is None:
            return
        now = host.process.seconds()
        # A host that has just gone on after a freeze hears of it late.
        if host.process.froze:
            since = max(since, host.process.froze[-1])
        if now - since <= LEAVING_SECONDS:
            return
        if self.calm or host.knows_leaving(upstream):
            self.violate('sent-to-leaving', call.attempt, peer=upstream)
