"""Queries for the current backlogs of owners, to replace stale ones."""

from twisted.internet.defer import succeed

from pollenstile.peer import BadMessageError, Unanswered
from pollenstile.stagework._codec import answer_from, backlog_bytes
from pollenstile.stagework._owner import NO_WORKERS
from pollenstile.stagework._subjects import BACKLOG, is_final
from pollenstile.stagework._types import GroupDone, GroupRefused
from pollenstile.stagework.events import STAGE_BACKLOG_UNREAD

# Seconds for which a reported backlog counts as current.
_FRESH_SECONDS = 0.15
# Seconds to wait for an answer; after that the stored backlog is used.
_ANSWER_TIMEOUT_SECONDS = 0.1


async def refresh_backlogs(client, services):
    """Query the owners whose stored backlog would refuse a request.

    Explanation
    ===========

    Backlogs are reported with the answers to groups. When a queue is reported
    as long, all requests are refused at the first step, and no group reaches
    the queue any more, so no report can show that the queue has become empty.
    Without a query, all upstreams would be idle and all callers refused until
    the stored backlog expires.

    Parameters
    ==========

    client : StageClient
        Holds the stored backlogs.
    services : iterable of str
        Services that a request needs.
    """
    queries = [
        _query_owner(client, service)
        for service in set(services)
        if _needs_refresh(client, service)
    ]
    # ``gatherResults`` would end a cancelled request with a ``FirstError``.
    for query in queries:
        await query


def _needs_refresh(client, service):
    """Return whether a service's stored backlog is stale and crowded."""
    is_fresh = client.backlogs.latest(service, _FRESH_SECONDS) is not None
    return not is_fresh and client.is_crowded(service)


def own_backlog(client, service):
    """Return the backlog of this host's queue, if this host owns it.

    Returns
    =======

    GroupDone or GroupRefused
        ``GroupDone`` without handles, or ``GroupRefused`` when another host
        owns the queue.
    """
    if client.leaving or client.owning_host(service) != client.host:
        return GroupRefused(NO_WORKERS)
    queue = client.owner(service)
    return GroupDone((), queue.wait(), queue.admission.is_tight())


def _query_owner(client, service):
    owner = client.owning_host(service)
    if owner == client.host:
        client.backlogs.record(service, own_backlog(client, service))
        return succeed(None)
    body = backlog_bytes(service)
    answer = client.hub.ask(owner, BACKLOG, body, _ANSWER_TIMEOUT_SECONDS)
    return answer.addCallback(_record_answer, client, owner, service)


def _record_answer(answer, client, owner, service):
    if isinstance(answer, Unanswered):
        return
    try:
        outcome = answer_from(answer)
    except BadMessageError as error:
        client.log(
            STAGE_BACKLOG_UNREAD,
            level='warning',
            peer=owner,
            service=service,
            reason=str(error),
        )
        return
    if is_final(outcome):
        client.backlogs.record(service, outcome)
