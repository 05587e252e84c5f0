"""Stage work on the peers' protocol."""

import pathlib

from pollenstile.peer import decoded, loaded_schema
from pollenstile.stagework._types import Group, GroupDone, GroupRefused

_MS = 1000
_schema = loaded_schema(pathlib.Path(__file__).with_name('messages.capnp'))


def group_bytes(group, now):
    """Return a group's encoding; its times become times left."""
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
        passedOn=group.passed_on,
        content=bytes.fromhex(group.content),
        team=group.team,
    ).to_bytes()


def group_from(encoded, now):
    """Return a group; raise BadMessageError when the bytes hold none."""

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

    return decoded(_schema.Group, encoded, build)


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
    ).to_bytes()


def answer_from(encoded):
    """Return ``GroupDone`` or ``GroupRefused``."""

    def build(reader):
        wait = reader.waitMs / _MS
        waited = reader.waitedMs / _MS
        if reader.reason:
            retry_after = reader.retryMs / _MS
            return GroupRefused(reader.reason, retry_after, wait, waited)
        return GroupDone(tuple(reader.handles), wait, reader.tight, waited)

    return decoded(_schema.GroupAnswer, encoded, build)


def release_bytes(service, handles, *, passed_on=False):
    """Return the encoding of a release of results."""
    message = _schema.Release.new_message(
        service=service,
        handles=list(handles),
        passedOn=passed_on,
    )
    return message.to_bytes()


def release_from(encoded):
    """Return service and handles of a release, and whether it was passed on."""

    def build(reader):
        return reader.service, tuple(reader.handles), reader.passedOn

    return decoded(_schema.Release, encoded, build)


def read_bytes(request, step):
    """Return the encoding of the word that a group's inputs were fetched."""
    message = _schema.Read.new_message(request=request, step=step)
    return message.to_bytes()


def read_from(encoded):
    """Return request and step of a group whose inputs were fetched."""

    def build(reader):
        return reader.request, reader.step

    return decoded(_schema.Read, encoded, build)


def backlog_bytes(service):
    """Return the encoding of the question how long a queue is."""
    return _schema.Backlog.new_message(service=service).to_bytes()


def backlog_from(encoded):
    """Return the service whose queue is asked about."""
    return decoded(_schema.Backlog, encoded, lambda reader: reader.service)


def cancel_bytes(service, request):
    """Return the encoding of the word that a request's pieces are useless."""
    message = _schema.Cancel.new_message(service=service, request=request)
    return message.to_bytes()


def cancel_from(encoded):
    """Return service and request of a cancel."""

    def build(reader):
        return reader.service, reader.request

    return decoded(_schema.Cancel, encoded, build)
