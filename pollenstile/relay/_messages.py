"""What followers ask and what they are told, and the encoding of both."""

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
from pollenstile.platform import Change, Found

_MS = 1000
# A frame between peers has room for a value of the store's largest size and
# not for two; a configuration over this is read from the store instead.
_LARGEST_CONFIG = 600_000
_schema = load_schema(pathlib.Path(__file__).with_name('messages.capnp'))


@dataclass(slots=True, frozen=True)
class Cursor:
    """The newest change of a kind that an asker has taken; 0 for none."""

    kind: str
    number: int


@dataclass(slots=True, frozen=True)
class Asked:
    """What a follower has.

    Parameters
    ==========

    source : str
        Incarnation whose numbers the cursors have.
    config_revision : int
        Of the configuration in force at the follower.
    cursors : tuple of Cursor
        What it has of each kind.
    hold : float
        Seconds for which the answer may be held while nothing is new.
    """

    source: str
    config_revision: int
    cursors: tuple[Cursor, ...]
    hold: float


@dataclass(slots=True, frozen=True)
class KindNews:
    """Changes of one kind of objects.

    Parameters
    ==========

    number : int
        Of the newest change, as the source counts them.
    revision : int
        The store's, up to which the source knows the kind.
    whole : bool
        Whether the changes are all objects that there are.
    changes : tuple of Change
        In their order; of a whole list, the objects.
    """

    kind: str
    number: int
    revision: int
    whole: bool
    changes: tuple[Change, ...]


@dataclass(slots=True, frozen=True)
class Word:
    """What a source knows.

    Parameters
    ==========

    fit : bool
        Whether the source has heard from the store lately.
    aged : float
        Seconds since its proof of the configuration was true, less those for
        which it held the ask: counted back from when the ask was sent, the
        proof is never dated too late.
    config_revision : int
        Of the proven configuration.
    config : Found or None
        The configuration, if the asker's is older.
    patch : Patch or None
        In its place, where the source knows what the asker has.
    seen : int
        The store's revision up to which the source knows the configuration;
        0 when the asker can't go on from there.
    """

    source: str
    fit: bool
    aged: float = 0.0
    config_revision: int = 0
    config: Found | None = None
    news: tuple[KindNews, ...] = ()
    patch: Patch | None = None
    seen: int = 0


def asked_bytes(asked):
    """Return an ask's encoding."""
    return _schema.Asked.new_message(
        source=asked.source,
        configRevision=asked.config_revision,
        cursors=[
            {'kind': one.kind, 'number': one.number} for one in asked.cursors
        ],
        holdMs=int(asked.hold * _MS),
    ).to_bytes()


def asked_from(encoded):
    """Return an ask; raise BadMessageError when the bytes hold none."""

    def build(reader):
        return Asked(
            reader.source,
            reader.configRevision,
            tuple(Cursor(one.kind, one.number) for one in reader.cursors),
            reader.holdMs / _MS,
        )

    return decode_struct(_schema.Asked, encoded, build)


def word_bytes(word):
    """Return a word's encoding; ages are rounded up."""
    config = b''
    if word.config is not None:
        config = msgspec.json.encode(word.config.value)
    if len(config) > _LARGEST_CONFIG:
        config = b''
    message = _schema.Word.new_message(
        source=word.source,
        fit=word.fit,
        agedMs=int(word.aged * _MS) + 1,
        configRevision=word.config_revision,
        config=config,
        news=[_news_row(one) for one in word.news],
        seen=word.seen,
    )
    if word.patch is not None:
        message.patch = patch_fields(word.patch)
    return message.to_bytes()


def config_from(revision, text):
    """Return a configuration; raise BadMessageError when its text is none."""
    return Found('config', 'main', revision, _value(text))


def word_from(encoded):
    """Return a word; raise BadMessageError when the bytes hold none."""

    def build(reader):
        revision = reader.configRevision
        config = None
        if reader.config:
            config = config_from(revision, reader.config)
        return Word(
            reader.source,
            reader.fit,
            reader.agedMs / _MS,
            revision,
            config,
            tuple(_news_from(one) for one in reader.news),
            patch_from(reader.patch) if reader.patch.digest else None,
            reader.seen,
        )

    return decode_struct(_schema.Word, encoded, build)


def _news_row(news):
    return {
        'kind': news.kind,
        'number': news.number,
        'revision': news.revision,
        'whole': news.whole,
        'changes': [
            {
                'name': one.name,
                'version': one.version,
                'value': b''
                if one.value is None
                else msgspec.json.encode(one.value),
            }
            for one in news.changes
        ],
    }


def _news_from(reader):
    return KindNews(
        reader.kind,
        reader.number,
        reader.revision,
        reader.whole,
        tuple(
            Change(
                reader.kind,
                one.name,
                one.version,
                _value(one.value) if one.value else None,
                one.version,
            )
            for one in reader.changes
        ),
    )


def _value(encoded):
    try:
        return msgspec.json.decode(encoded)
    except msgspec.DecodeError as error:
        raise BadMessageError(str(error)[:100]) from None
