"""Encoding of stage work messages between peers."""

import pathlib

from pollenstile.peer import decode_struct, load_schema
from pollenstile.stagework._types import Group, GroupDone, GroupRefused

_MS = 1000
_schema = load_schema(pathlib.Path(__file__).with_name('messages.capnp'))


def group_bytes(group, now):
    """Return the encoding of a group; times are sent as remaining durations."""
    return _schema.Group.new_message(
        request=group.request,
        service=group.service,
        step=group.step,
        count=group.count,
        key=group.key,
        inputs=list(group.inputs),
        resultBytes=group.result_bytes,
        urgency=group.urgency,
        dueMs=int((group.due - now) * _MS),
        endsMs=int((group.deadline - now) * _MS),
        near=','.join(group.near),
        isLater=not group.is_first,
        laterCrowded=group.later_crowded,
        passedOn=group.is_forwarded,
        content=bytes.fromhex(group.fingerprint),
        team=group.team,
    ).to_bytes()


def group_from(encoded, now):
    """Decode a group; raise BadMessageError when the bytes are invalid."""

    def build(reader):
        return Group(
            reader.request,
            reader.service,
            reader.step,
            reader.count,
            reader.key,
            tuple(reader.inputs),
            reader.resultBytes,
            reader.urgency,
            now + reader.dueMs / _MS,
            now + reader.endsMs / _MS,
            tuple(filter(None, reader.near.split(','))),
            not reader.isLater,
            reader.laterCrowded,
            reader.passedOn,
            reader.content.hex(),
            reader.team,
        )

    return decode_struct(_schema.Group, encoded, build)


def answer_bytes(outcome):
    """Return the encoding of ``GroupDone`` or ``GroupRefused``."""
    wait = int(outcome.wait * _MS)
    if isinstance(outcome, GroupDone):
        return _schema.GroupAnswer.new_message(
            handles=list(outcome.handles),
            waitMs=wait,
            tight=outcome.tight,
            waitedMs=int(outcome.waited * _MS),
        ).to_bytes()
    return _schema.GroupAnswer.new_message(
        reason=outcome.reason,
        retryMs=int(outcome.retry_after * _MS),
        waitMs=wait,
        waitedMs=int(outcome.waited * _MS),
        promised=outcome.promised,
    ).to_bytes()


def answer_from(encoded):
    """Decode ``GroupDone`` or ``GroupRefused``."""

    def build(reader):
        wait = reader.waitMs / _MS
        waited = reader.waitedMs / _MS
        if reader.reason:
            retry_after = reader.retryMs / _MS
            return GroupRefused(
                reader.reason, retry_after, wait, waited, reader.promised
            )
        return GroupDone(tuple(reader.handles), wait, reader.tight, waited)

    return decode_struct(_schema.GroupAnswer, encoded, build)


def release_bytes(service, handles, *, is_forwarded=False):
    """Return the encoding of a release of results."""
    message = _schema.Release.new_message(
        service=service,
        handles=list(handles),
        passedOn=is_forwarded,
    )
    return message.to_bytes()


def release_from(encoded):
    """Decode a release: service, handles, and whether it was forwarded."""

    def build(reader):
        return reader.service, tuple(reader.handles), reader.passedOn

    return decode_struct(_schema.Release, encoded, build)


def read_bytes(request, step):
    """Return the encoding of a notice that a group's inputs were fetched."""
    message = _schema.Read.new_message(request=request, step=step)
    return message.to_bytes()


def read_from(encoded):
    """Decode request and step of a group whose inputs were fetched."""

    def build(reader):
        return reader.request, reader.step

    return decode_struct(_schema.Read, encoded, build)


def backlog_bytes(service):
    """Return the encoding of a backlog query."""
    return _schema.Backlog.new_message(service=service).to_bytes()


def backlog_from(encoded):
    """Decode the service of a backlog query."""
    return decode_struct(
        _schema.Backlog, encoded, lambda reader: reader.service
    )


def cancel_bytes(service, request):
    """Return the encoding of a cancellation of a request's pieces."""
    message = _schema.Cancel.new_message(service=service, request=request)
    return message.to_bytes()


def cancel_from(encoded):
    """Decode service and request of a cancellation."""

    def build(reader):
        return reader.service, reader.request

    return decode_struct(_schema.Cancel, encoded, build)
