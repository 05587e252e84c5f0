"""Who calls, and what: authentication and decoding of callers' requests."""

import hashlib
import hmac
from dataclasses import dataclass
from typing import Any

import msgspec

from pollenstile.ops.numbers import whole_number
from pollenstile.outcomes import Refused

_BEARER = 'Bearer '
_MOST_KEY = 200
_MS = 1000
_STEP = 'caller'


@dataclass(slots=True)
class CallerBody:
    """The body of a caller's request."""

    input: Any


_decoded_body = msgspec.json.Decoder(CallerBody).decode


def authenticate_team(snapshot, authorization):
    """Return the team whose key a header carries, or a refusal.

    Explanation
    ===========

    The manifest holds digests only. Finding the candidates by the digest's
    first characters tells nothing of the key, and the rest is compared in
    constant time.
    """
    if not authorization or not authorization.startswith(_BEARER):
        return Refused(401, 'no key: send Authorization: Bearer KEY', _STEP)
    key = authorization[len(_BEARER) :].strip()
    digest = hashlib.sha256(key.encode(errors='surrogateescape')).hexdigest()
    found = None
    for candidate, team in snapshot.candidates(digest):
        if hmac.compare_digest(candidate, digest):
            found = team
    return found or Refused(401, 'unknown key', _STEP)


def find_pipeline(snapshot, name, team):
    """Return the pipeline's declaration, or a refusal."""
    pipeline = snapshot.manifest.pipelines.get(name)
    if pipeline is None:
        return Refused(404, f'no pipeline is named {name!r}', _STEP)
    if team not in pipeline.teams:
        return Refused(403, f'{name!r} is not for this team', _STEP)
    return pipeline


def decode_input(body):
    """Return the input that a body carries, or a refusal."""
    try:
        return _decoded_body(body).input
    except (msgspec.MsgspecError, RecursionError) as error:
        return Refused(400, f'the body is wrong: {error}', _STEP)


def parse_deadline(header, pipeline):
    """Return seconds until the deadline, or a refusal.

    Explanation
    ===========

    A caller may ask for less than is declared, not for more.
    """
    declared = pipeline.deadline_ms / _MS
    if not header:
        return declared
    number = whole_number(header)
    if not number:
        return Refused(400, 'X-Deadline-Ms is not a number of ms', _STEP)
    return min(declared, number / _MS)


def parse_idempotency_key(header):
    """Return the idempotency key, empty for none, or a refusal."""
    if not header:
        return ''
    if len(header) > _MOST_KEY or not header.isprintable():
        return Refused(400, 'Idempotency-Key is too long or odd', _STEP)
    return header
