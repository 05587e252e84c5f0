"""Asking owners how long their queues are, before a word is acted on."""

from twisted.internet.defer import gatherResults, succeed

from pollenstile.peer import Unanswered
from pollenstile.stagework._codec import answer_from, backlog_bytes
from pollenstile.stagework._owner import NO_WORKERS
from pollenstile.stagework._subjects import BACKLOG, is_final
from pollenstile.stagework._types import GroupDone, GroupRefused

# Seconds for which an owner's word is as good as new.
_FRESH_SECONDS = 0.15
# Seconds for an answer; then the old word counts.
_ANSWER_SECONDS = 0.1


async def refresh_backlogs(client, services):
    """Ask those owners again whose last word would keep a request out.

    Explanation
    ===========

    Words come with the answers to groups. When a queue was told to be long, all
    requests are refused at the first step; nothing reaches that queue any more,
    so nobody hears that it is empty. Until the word is too old to count, all
    upstreams would stand idle and all callers be sent away.

    Parameters
    ==========

    client : StageClient
        Has the words.
    services : iterable of str
        Whose queues a request would come to.
    """
    asked = [
        _asked(client, service)
        for service in set(services)
        if _is_doubtful(client, service)
    ]
    if asked:
        await gatherResults(asked, consumeErrors=True)


def _is_doubtful(client, service):
    """Return whether a service's last word is old and says that it is full."""
    is_fresh = client.backlogs.latest(service, _FRESH_SECONDS) is not None
    return not is_fresh and client.is_crowded(service)


def own_backlog(client, service):
    """Return what this host's queue says, if it owns it.

    Returns
    =======

    GroupDone or GroupRefused
        Without handles; refused when another host owns the queue.
    """
    if client.leaving or client.owning_host(service) != client.host:
        return GroupRefused(NO_WORKERS)
    queue = client.owner(service)
    return GroupDone((), queue.wait(), queue.admission.is_tight())


def _asked(client, service):
    owner = client.owning_host(service)
    if owner == client.host:
        client.backlogs.note(service, own_backlog(client, service))
        return succeed(None)
    body = backlog_bytes(service)
    answer = client.hub.ask(owner, BACKLOG, body, _ANSWER_SECONDS)
    return answer.addCallback(_noted, client, service)


def _noted(answer, client, service):
    if isinstance(answer, Unanswered):
        return
    outcome = answer_from(answer)
    if is_final(outcome):
        client.backlogs.note(service, outcome)
