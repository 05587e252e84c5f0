"""Requests about claims between entry hosts.

Explanation
===========

The peer protocol has two subjects for claims: a query for the outcome of a
request that holds a key, and the append of a claim for another host. Bodies
are JSON, because an outcome contains a caller's answer, which is arbitrary
JSON.
"""

from functools import partial

import msgspec

from pollenstile.claims._pending import Held, NotClaimed
from pollenstile.claims._records import Record
from pollenstile.outcomes import Answered, Failed, Refused, Unknown

_OUTCOME_QUERY = 'claim-told'
_APPEND = 'claim-append'
_ASK_SECONDS = 1.0
# The appending host times out before the requesting host (0.8 s) does.
_APPEND_SECONDS = 0.5
_FORWARD_SECONDS = 0.8
# A larger outcome does not fit a frame; the repeat gets an unknown outcome.
_MAX_BYTES = 1_000_000
_OUTCOME_TYPES = {
    kind.tag: kind for kind in (Answered, Refused, Failed, Unknown)
}
_APPEND_RESULT_TYPES = {'held': Held, 'unreached': NotClaimed}


def connect_peers(claims, ask, answer):
    """Connect claims to the peer protocol, as client and as server.

    Parameters
    ==========

    claims : Claims
        The claims of this host.
    ask : function
        ``ask(host, subject, body, seconds)`` returns a Deferred that fires
        with the reply's bytes, or with another type if there is no reply.
    answer : function
        ``answer(subject, function)`` registers the handler of a subject;
        the handler takes the peer's name and the body.
    """
    claims.query_holder = partial(_query_holder, ask)
    answer(_OUTCOME_QUERY, partial(_answer_outcome_query, claims))
    answer(_APPEND, partial(_append_for_peer, claims))


async def send_append(ask, owner, record):
    """Request that another host append a claim; see ``build_forwarder``.

    Returns
    =======

    Held, Unreached or None
        None if no reply arrived in time.
    """
    body = msgspec.json.encode(record)
    reply = await ask(owner, _APPEND, body, _FORWARD_SECONDS)
    return _decode(reply, _APPEND_RESULT_TYPES)


async def _query_holder(ask, holder):
    body = msgspec.json.encode(holder)
    reply = await ask(holder.host, _OUTCOME_QUERY, body, _ASK_SECONDS)
    return _decode(reply, _OUTCOME_TYPES)


def _answer_outcome_query(claims, peer, body):
    outcome = claims.find_outcome(msgspec.json.decode(body, type=Record))
    return b'' if outcome is None else _encode(outcome.tag, outcome)


async def _append_for_peer(claims, peer, body):
    record = msgspec.json.decode(body, type=Record)
    result = await claims.append_forwarded(record, _APPEND_SECONDS)
    return _encode('held' if isinstance(result, Held) else 'unreached', result)


def _encode(tag, content):
    encoded = msgspec.json.encode([tag, content])
    return encoded if len(encoded) <= _MAX_BYTES else b''


def _decode(reply, types):
    """Return the decoded reply of a peer, or None if there is no valid one."""
    if not isinstance(reply, bytes) or not reply:
        return None
    try:
        tag, content = msgspec.json.decode(reply, type=tuple[str, msgspec.Raw])
        return msgspec.json.decode(content, type=types[tag])
    except (msgspec.MsgspecError, KeyError):
        # A newer release may send replies that this one can't decode.
        return None
