"""Checks of the head of an upstream's answer."""

from functools import partial

from pollenstile.forward._learning import learn_load
from pollenstile.forward._outcomes import RESULTS_GONE
from pollenstile.forward._types import Lost, NotRun
from pollenstile.statements import read_statements

_MISDIRECTED_STATUS = 421
_CONFLICT_STATUS = 409
_NOT_RUN_STATUSES = (408, 421, 429, 503)
# Statuses that are passed on only with the upstream's stamp.
_STATUSES_NEEDING_STAMP = frozenset((*range(200, 300), *_NOT_RUN_STATUSES))


def rejection(attempt, head):
    """Return ``NotRun`` or ``Lost`` if a head is not a valid answer.

    Parameters
    ==========

    attempt : Attempt
        The attempt that has received it.
    head : Response
        Head of an answer.
    """
    core = attempt.core
    names = core.names
    ident = attempt.view.ident
    load = _text(head, names.load)
    if load:
        learn_load(
            attempt.view,
            load,
            core.clock.seconds(),
            partial(
                core.conditions.note_report,
                attempt.exchange.service,
                attempt.view.incarnation,
            ),
        )
    echoed = _text(head, names.attempt)
    if echoed and echoed != attempt.exchange.ident:
        # This is a late duplicate answer to another request. If it were
        # passed on, the caller would get what another caller asked for.
        return Lost('foreign answer', ident)
    if head.code == _MISDIRECTED_STATUS:
        core.registry.drop(ident, attempt.view.born)
        return NotRun('another incarnation', ident)
    is_stamped = bool(_text(head, names.stamp) and echoed)
    core.permissions.note_answer(
        attempt.view.incarnation,
        attempt.exchange.service,
        read_statements(
            head,
            names,
            is_proof=is_stamped,
            request=attempt.exchange.ident,
        ),
    )
    if _text(head, names.not_run):
        gone = head.code == _CONFLICT_STATUS
        return RESULTS_GONE if gone else NotRun(f'status {head.code}', ident)
    if is_stamped or head.code not in _STATUSES_NEEDING_STAMP:
        return None
    # Without the stamp, a success may come from another server, and a
    # status that promises 'not run' may be wrong.
    return Lost(f'status {head.code} without proof', ident)


def _text(head, name):
    values = head.headers.getRawHeaders(name)
    return values[0].decode('latin-1') if values else ''
