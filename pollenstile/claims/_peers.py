"""What hosts ask each other about claims.

Explanation
===========

Two subjects of the inner protocol: what became of a request that holds a key,
and the append of a claim for another host. A body is JSON, since an outcome
holds a caller's answer, which is JSON of any shape.
"""

from functools import partial

import msgspec

from pollenstile.claims._pending import Held, Unreached
from pollenstile.claims._records import Record
from pollenstile.outcomes import Answered, Failed, Refused, Unknown

_TOLD = 'claim-told'
_APPEND = 'claim-append'
_ASK_SECONDS = 1.0
# The appending host gives up before the asking one does.
_APPEND_SECONDS = 0.5
_FORWARD_SECONDS = 0.8
# Above this an outcome does not fit a frame; the repeat is told unknown.
_MOST_BYTES = 1_000_000
_OUTCOMES = {kind.tag: kind for kind in (Answered, Refused, Failed, Unknown)}
_SETTLED = {'held': Held, 'unreached': Unreached}


def connect_peers(claims, ask, answer):
    """Let claims ask other hosts, and answer them.

    Parameters
    ==========

    claims : Claims
        Of this host.
    ask : function
        ``ask(host, subject, body, seconds)`` returns a Deferred of the
        answer's bytes, or of something else when there is none.
    answer : function
        ``answer(subject, function)`` has the function answer a subject; it
        takes the peer's name and the body.
    """
    claims.ask_owner = partial(_asked, ask)
    answer(_TOLD, partial(_told, claims))
    answer(_APPEND, partial(_appended, claims))


async def sent(ask, owner, record):
    """Have another host append a claim; see ``build_forwarder``.

    Returns
    =======

    Held, Unreached or None
        None when no answer came in time.
    """
    body = msgspec.json.encode(record)
    reply = await ask(owner, _APPEND, body, _FORWARD_SECONDS)
    return _decoded(reply, _SETTLED)


async def _asked(ask, holder):
    body = msgspec.json.encode(holder)
    reply = await ask(holder.host, _TOLD, body, _ASK_SECONDS)
    return _decoded(reply, _OUTCOMES)


def _told(claims, peer, body):
    outcome = claims.told(msgspec.json.decode(body, type=Record))
    return b'' if outcome is None else _encoded(outcome.tag, outcome)


async def _appended(claims, peer, body):
    record = msgspec.json.decode(body, type=Record)
    settled = await claims.append_forwarded(record, _APPEND_SECONDS)
    return _encoded(
        'held' if isinstance(settled, Held) else 'unreached', settled
    )


def _encoded(tag, content):
    encoded = msgspec.json.encode([tag, content])
    return encoded if len(encoded) <= _MOST_BYTES else b''


def _decoded(reply, types):
    """Return what a peer said, None when it said nothing of use."""
    if not isinstance(reply, bytes) or not reply:
        return None
    try:
        tag, content = msgspec.json.decode(reply, type=tuple[str, msgspec.Raw])
        return msgspec.json.decode(content, type=types[tag])
    except (msgspec.MsgspecError, KeyError):
        # A newer release may say what this one can't read.
        return None
