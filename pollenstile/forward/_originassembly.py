"""Builds what a host records of software versions and streams in the store."""

from functools import partial

from pollenstile.origins import (
    OriginSharing,
    SoftwareRecorder,
    StreamHandover,
    StreamRecorder,
)

# Time after the start until the entries of the other hosts are mostly known.
_JOIN_SECONDS = 1.0


def build_origin_parts(store, settings, core, hub, members):
    """Return what a host shares and records of the versions of streams.

    Returns
    =======

    tuple
        :class:`OriginSharing`, :class:`SoftwareRecorder`,
        :class:`StreamRecorder` and :class:`StreamHandover`.
    """
    sharing = OriginSharing(hub, core.origins, members.hosts, core.log)
    stream_record = _build_stream_record(store, settings, core, sharing)
    return (
        sharing,
        _build_software_record(store, settings, core, members),
        stream_record,
        StreamHandover(hub, members.hosts, stream_record, core.log),
    )


def _build_software_record(store, settings, core, members):
    record = SoftwareRecorder(
        store,
        core.clock,
        settings.host,
        members.hosts,
        core.origins.history,
        core.log,
    )
    record.has_streams = partial(_has_streams, core.configuration)
    joined_at = core.clock.seconds() + _JOIN_SECONDS
    record.is_joined = partial(_is_joined, members, core.clock, joined_at)
    core.origins.confirm = record.confirm
    return record


def _build_stream_record(store, settings, core, sharing):
    record = StreamRecorder(
        store,
        core.clock,
        settings.host,
        settings.domain,
        core.origins.table,
        core.log,
    )
    record.reader.domains = partial(_other_domains, sharing, settings.domain)
    sharing.record = record.note
    core.origins.look_up = record.reader.look_up
    core.origins.is_looked_up = record.reader.is_read
    return record


def _other_domains(sharing, domain):
    """Return the failure domains of the known hosts, without one."""
    return [name for name in sharing.keepers if name != domain]


def _has_streams(configuration, service):
    """Return whether streams may begin at a service: it runs no stage."""
    table = configuration.table
    if table is None:
        return False
    entry = table.services.get(service)
    return entry is None or not entry.stage


def _is_joined(members, clock, joined_at):
    return members.known and clock.seconds() >= joined_at
