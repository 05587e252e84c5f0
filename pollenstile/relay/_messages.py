"""Requests of followers, updates for them, and the encoding of both."""

import pathlib
from dataclasses import dataclass

import msgspec

from pollenstile.peer import (
    BadMessageError,
    Patch,
    decode_struct,
    load_schema,
    patch_fields,
    patch_from,
)
from pollenstile.platform import (
    UNREADABLE,
    Change,
    Found,
    decode_value,
    era_of,
    position,
    revision_of,
)

_MS = 1000
# Bytes of JSON above which a follower reads the configuration from the store
# instead: a frame between peers has room for one value of the store's largest
# size, but not for two.
_MAX_CONFIG_BYTES = 600_000
_schema = load_schema(pathlib.Path(__file__).with_name('messages.capnp'))


@dataclass(slots=True, frozen=True)
class Cursor:
    """Number of the newest change of a kind that the requester has; 0: none."""

    kind: str
    number: int


@dataclass(slots=True, frozen=True)
class RelayRequest:
    """Request of a follower for changes that it does not have.

    Parameters
    ==========

    source : str
        Incarnation of the source that assigned the cursor numbers.
    config_revision : int
        Revision of the configuration in force at the follower.
    cursors : tuple of Cursor
        Position of the follower in the changes of each kind.
    hold : float
        Seconds for which the source may hold the answer while nothing has
        changed.
    config_version : int
        Operator's version of that configuration; 0 if it was not told.
    """

    source: str
    config_revision: int
    cursors: tuple[Cursor, ...]
    hold: float
    config_version: int = 0


@dataclass(slots=True, frozen=True)
class KindUpdate:
    """Changes of one kind of objects.

    Parameters
    ==========

    kind : str
        Kind of the objects.
    number : int
        Number of the newest change, as counted by the source.
    revision : int
        Store revision up to which the source knows the kind.
    is_full : bool
        Whether the changes are the full list of objects.
    changes : tuple of Change
        Changes in their order, or all objects of a full list.
    """

    kind: str
    number: int
    revision: int
    is_full: bool
    changes: tuple[Change, ...]


@dataclass(slots=True, frozen=True)
class RelayUpdate:
    """Changes and configuration that a source sends to a follower.

    Parameters
    ==========

    source : str
        Incarnation of the source.
    has_store : bool
        Whether the store has answered the source recently.
    aged : float
        Seconds from the source's verification of its configuration to the
        arrival of the request, negative if it was verified while the request
        was held. Subtracted from the time at which the request was sent, they
        never give a verification time that is too late.
    config_revision : int
        Revision of the verified configuration.
    config : Found or None
        The configuration, if the requester's is older.
    kind_updates : tuple of KindUpdate
        Changes of each kind.
    patch : Patch or None
        Edits of the requester's text, sent instead of the configuration if the
        source has that text.
    seen : int
        Store revision up to which the source knows the configuration; 0 when
        the requester can't continue from it.
    config_version : int
        Operator's version of the verified configuration; 0 if it was not told.
    era : int or None
        The newest era of the store that the source has heard of; None if it
        was not told.
    settling_aged : float or None
        Seconds from the source's last answered call of the store to the arrival
        of the request, while the store's answers prove nothing; otherwise None.
    """

    source: str
    has_store: bool
    aged: float = 0.0
    config_revision: int = 0
    config: Found | None = None
    kind_updates: tuple[KindUpdate, ...] = ()
    patch: Patch | None = None
    seen: int = 0
    config_version: int = 0
    era: int | None = None
    settling_aged: float | None = None


def encode_request(request):
    """Return the encoding of a request."""
    return _schema.Asked.new_message(
        source=request.source,
        configRevision=revision_of(request.config_revision),
        configEra=_era_field(request.config_revision),
        configVersion=request.config_version,
        cursors=[
            {'kind': cursor.kind, 'number': cursor.number}
            for cursor in request.cursors
        ],
        holdMs=int(request.hold * _MS),
    ).to_bytes()


def decode_request(encoded, era=0):
    """Return a request; raise BadMessageError for malformed bytes.

    Parameters
    ==========

    era : int
        Era of the revisions of a host that tells no eras.
    """

    def build(reader):
        return RelayRequest(
            reader.source,
            _place(reader.configRevision, reader.configEra, era),
            tuple(
                Cursor(cursor.kind, cursor.number) for cursor in reader.cursors
            ),
            reader.holdMs / _MS,
            reader.configVersion,
        )

    return decode_struct(_schema.Asked, encoded, build)


def encode_update(update):
    """Return the encoding of an update; ages are rounded up."""
    config = b''
    if update.config is not None:
        config = msgspec.json.encode(update.config.value)
    if len(config) > _MAX_CONFIG_BYTES:
        config = b''
    message = _schema.Word.new_message(
        source=update.source,
        fit=update.has_store,
        agedMs=int(update.aged * _MS) + 1,
        configRevision=revision_of(update.config_revision),
        configEra=_era_field(update.config_revision),
        configVersion=update.config_version,
        config=config,
        news=[
            _kind_update_fields(kind_update)
            for kind_update in update.kind_updates
        ],
        seen=revision_of(update.seen),
        seenEra=_era_field(update.seen),
        era=0 if update.era is None else update.era + 1,
        settlingMs=_settling_field(update.settling_aged),
    )
    if update.patch is not None:
        message.patch = patch_fields(update.patch)
    return message.to_bytes()


def decode_config(revision, text):
    """Return a configuration; raise BadMessageError for malformed JSON."""
    return Found('config', 'main', revision, _decode_config_text(text))


def decode_update(encoded, era=0):
    """Return an update; raise BadMessageError for malformed bytes.

    Parameters
    ==========

    era : int
        Era of the revisions of a host that tells no eras.
    """

    def build(reader):
        revision = _place(reader.configRevision, reader.configEra, era)
        config = None
        if reader.config:
            config = decode_config(revision, reader.config)
        return RelayUpdate(
            reader.source,
            reader.fit,
            reader.agedMs / _MS,
            revision,
            config,
            tuple(_build_kind_update(row, era) for row in reader.news),
            patch_from(reader.patch) if reader.patch.digest else None,
            _place(reader.seen, reader.seenEra, era) if reader.seen else 0,
            reader.configVersion,
            reader.era - 1 if reader.era else None,
            reader.settlingMs / _MS if reader.settlingMs else None,
        )

    return decode_struct(_schema.Word, encoded, build)


def _kind_update_fields(kind_update):
    return {
        'kind': kind_update.kind,
        'number': kind_update.number,
        'revision': revision_of(kind_update.revision),
        'era': _era_field(kind_update.revision),
        'whole': kind_update.is_full,
        'changes': [
            {
                'name': change.name,
                'version': revision_of(change.version),
                'era': _era_field(change.version),
                'afterReturn': change.after_return,
                'value': _encode_value(change.value),
            }
            for change in kind_update.changes
        ],
    }


def _build_kind_update(reader, era):
    return KindUpdate(
        reader.kind,
        reader.number,
        _place(reader.revision, reader.era, era),
        reader.whole,
        tuple(_build_change(reader.kind, row, era) for row in reader.changes),
    )


def _build_change(kind, row, era):
    version = _place(row.version, row.era, era)
    change = decode_value(row.value) if row.value else None
    return Change(kind, row.name, version, change, version, row.afterReturn)


def _settling_field(aged):
    return 0 if aged is None else int(max(0, aged) * _MS) + 1


def _era_field(place):
    return era_of(place) + 1


def _place(revision, era_field, default_era):
    """Return the position of a revision; a host may not tell its era."""
    return position(era_field - 1 if era_field else default_era, revision)


def _encode_value(content):
    """Return the text of a value; one that has none hides no other one."""
    if content is None:
        return b''
    try:
        return msgspec.json.encode(content)
    except (ValueError, TypeError, RecursionError):
        return msgspec.json.encode(UNREADABLE)


def _decode_config_text(encoded):
    try:
        return msgspec.json.decode(encoded)
    except (msgspec.DecodeError, RecursionError) as error:
        raise BadMessageError(str(error)[:100]) from None
