"""Log lines of forwarded requests."""

from pollenstile.forward import events
from pollenstile.forward._types import BodyEnd, ReceivedBody
from pollenstile.quarantine import HELD_REASON

_MS = 1000


def log_send(run, attempt, last_event):
    """Log a send of a request, and the state on which it was decided.

    Parameters
    ==========

    attempt : Attempt
        What is sent.
    last_event : str
        Event after which a stream continues; empty at its beginning.
    """
    exchange = run.exchange
    core = run.core
    view = attempt.view
    now = core.clock.seconds()
    core.log(
        events.FORWARDED,
        request=exchange.ident,
        content=exchange.fingerprint,
        parts=exchange.parts,
        route=exchange.route.name,
        service=exchange.service,
        peer=view.ident,
        address=view.address,
        software=view.software,
        resumes=exchange.resumes,
        after=last_event,
        send=run.sends,
        flying=view.in_flight,
        running=view.running,
        queued=view.queued,
        age_ms=_load_age(view, now),
        failures=round(view.failures, 2),
        cold_ms=int(max(0, view.cold_until - now) * _MS),
        rate=core.rates.stated.rate(view.incarnation),
        blocked=_block_reason(core, view),
        drained=','.join(sorted(core.registry.drained)),
        part_source=_source_text(attempt.part_source),
    )


def log_stream_end(attempt, end):
    """Log how a stream ended, unless its framing ended it between events."""
    splitter = attempt.splitter
    if end is BodyEnd.COMPLETE and not splitter.rest:
        return
    attempt.core.log(
        events.STREAM_ENDED,
        request=attempt.exchange.ident,
        peer=attempt.view.ident,
        end=end.value,
        last=splitter.last.decode('latin-1'),
        rest=len(splitter.rest),
    )


def log_failed(run, attempt, failed, *, resend):
    """Log an attempt that has ended without the answer.

    Parameters
    ==========

    failed : NotRun or Lost
        How it has ended.
    resend : bool
        Whether the request is sent again.
    """
    run.core.log(
        events.ATTEMPT_FAILED,
        request=run.exchange.ident,
        peer=attempt.view.ident,
        reason=failed.reason,
        arrived=has_arrived(failed),
        again=resend,
        **_body_fields(attempt),
    )


def has_arrived(failed):
    """Return whether a failed attempt has reached its upstream."""
    return getattr(failed, 'arrived', True)


def log_silence(attempt):
    """Log that an upstream has sent nothing for the limit on silence."""
    core = attempt.core
    silence = attempt.silence
    heard_at = attempt.view.heard_at
    heard = core.clock.seconds() - heard_at if heard_at else 0
    core.log(
        events.ATTEMPT_SILENT,
        request=attempt.exchange.ident,
        peer=attempt.view.ident,
        sent=attempt.call.sent,
        last=attempt.splitter.last.decode('latin-1'),
        silent_ms=int(silence.silent_seconds() * _MS),
        limit_ms=int(silence.limit * _MS),
        late_ms=int(silence.lateness * _MS),
        heard_ms=int(heard * _MS) if heard_at else -1,
        no_progress=silence.no_progress_bytes,
        flying=attempt.view.in_flight,
    )


def log_no_progress(attempt, reason):
    """Log that an upstream is passed by, as its bytes are no answer.

    Parameters
    ==========

    reason : str
        What it sent, or that nothing for the caller came in time.
    """
    core = attempt.core
    now = core.clock.seconds()
    core.log(
        events.UPSTREAM_WITHOUT_PROGRESS,
        request=attempt.exchange.ident,
        peer=attempt.view.ident,
        reason=reason,
        last=attempt.splitter.last.decode('latin-1'),
        no_progress=max(
            attempt.no_progress_bytes, attempt.silence.no_progress_bytes
        ),
        took_ms=int((now - attempt.started) * _MS),
        passed_by_ms=int((attempt.view.no_progress_until - now) * _MS),
    )


def log_heard(attempt, seconds):
    """Log that an upstream goes on after a silence over the limit.

    Parameters
    ==========

    seconds : float
        Length of the silence.
    """
    attempt.core.log(
        events.ATTEMPT_HEARD,
        request=attempt.exchange.ident,
        peer=attempt.view.ident,
        silent_ms=int(seconds * _MS),
        beside=len(attempt.contest.running) - 1,
    )


def log_taken_over(run, attempt, closed):
    """Log that an attempt goes on with the answer of silent ones.

    Parameters
    ==========

    closed : list of Attempt
        The other attempts, which were closed.
    """
    run.core.log(
        events.ANSWER_TAKEN_OVER,
        request=run.exchange.ident,
        peer=attempt.view.ident,
        silent=[other.view.ident for other in closed],
        silent_ms=[
            int(other.silence.silent_seconds() * _MS) for other in closed
        ],
        took_ms=int((run.core.clock.seconds() - attempt.started) * _MS),
    )


def log_standby(run, attempt, reason):
    """Log why no attempt is sent beside a silent one for now.

    Parameters
    ==========

    attempt : Attempt
        The silent attempt.
    reason : str
        What is missing.
    """
    run.core.log(
        events.STANDBY_HELD,
        request=run.exchange.ident,
        peer=attempt.view.ident,
        reason=reason,
        silent_ms=int(attempt.silence.silent_seconds() * _MS),
        runs=run.count_runs(),
        held=run.results.are_held(),
        due_ms=int((run.exchange.aim - run.core.clock.seconds()) * _MS),
        left_ms=int((run.exchange.ends - run.core.clock.seconds()) * _MS),
    )


def log_unread(core, exchange):
    """Log that a complete answer was cut off, as its caller hasn't read it."""
    core.log(
        events.ANSWER_CUT_OFF,
        request=exchange.ident,
        route=exchange.route.name,
        why='not read',
        begun=True,
        left_ms=int((exchange.ends - core.clock.seconds()) * _MS),
    )


def log_cut_off(run, why):
    """Log that this host cuts an answer off that isn't complete.

    Parameters
    ==========

    why : str
        What has ended the answer.
    """
    exchange = run.exchange
    run.core.log(
        events.ANSWER_CUT_OFF,
        request=exchange.ident,
        route=exchange.route.name,
        why=why,
        begun=run.answer.begun,
        sends=run.sends,
        runs=run.count_runs() + run.contest.runs_in_flight(),
        left_ms=int((exchange.ends - run.core.clock.seconds()) * _MS),
    )


def log_end(run):
    """Log the end of a request."""
    exchange = run.exchange
    attempt = run.attempt
    refusal = run.refusal
    run.core.log(
        events.FORWARD_ENDED,
        request=exchange.ident,
        content=exchange.fingerprint,
        route=exchange.route.name,
        service=exchange.service,
        team=exchange.team,
        outcome=run.outcome,
        status=refusal.status if refusal else 0,
        reason=refusal.reason if refusal else '',
        held=_held_content(run),
        step=refusal.step if refusal else '',
        peer=refusal.peer if refusal else '',
        resumes=exchange.resumes,
        sends=run.sends,
        took_ms=int((run.core.clock.seconds() - exchange.arrived) * _MS),
        staged_ms=_since_arrival(exchange, run.results.staged_at),
        first_ms=_since_arrival(exchange, attempt.first_at if attempt else 0),
        aim_ms=int((exchange.aim - exchange.arrived) * _MS),
        # Time since the caller's first request; 0 for a new request.
        came_ms=int(run.results.waited() * _MS),
        pause_ms=int(attempt.longest_pause * _MS) if attempt else 0,
        pause_limit_ms=int(exchange.route.pause * _MS),
        crossed=run.results.crossed,
        unused=run.results.unused,
        version=exchange.table.version,
        proof_ms=exchange.proof_ms,
        **_body_fields(attempt),
    )


def _body_fields(attempt):
    """Return the fields that tell by what an answer's end was known."""
    received = attempt.received if attempt else ReceivedBody()
    return {
        'framing': received.framing,
        'bytes': received.size,
        'end': received.end,
    }


def _held_content(run):
    """Return the fingerprint that a request was refused for, if it was."""
    if run.refusal is None or run.refusal.reason != HELD_REASON:
        return ''
    return run.core.quarantine.verdicts.first_held(run.exchange.fingerprints)


def _source_text(source):
    """Return which engine is named as a source and why; empty if none is."""
    return f'{source.view.ident} ({source.reason})' if source else ''


def _block_reason(core, view):
    """Return why nothing may be sent to an upstream; empty if it may."""
    block = core.permissions.withdrawn(view.incarnation)
    return block.reason if block else ''


def _since_arrival(exchange, moment):
    """Return milliseconds from arrival to an event; 0 if there was none."""
    return int((moment - exchange.arrived) * _MS) if moment else 0


def _load_age(view, now):
    """Return milliseconds since the last load report; -1 without one."""
    return int((now - view.load_at) * _MS) if view.load_at > 0 else -1
