"""Writes the records of a live run, to be read beside the hosts' logs."""

from dataclasses import asdict, is_dataclass, replace

import msgspec

from pollenstile.soak.live._records import RequestRecord

# Bytes of a body that are written.
_SHOWN_BYTES = 200


def write_records(records, output, utc):
    """Write a JSON line for each record of a run.

    Parameters
    ==========

    records : Records
        Records of callers, upstreams and faults; times are of the run's clock.
    output : file
        Binary file.
    utc : float
        Seconds to add to times of the run's clock for those of the hosts' logs.
    """
    output.writelines(
        (msgspec.json.encode({'record': 'utc', 'add': utc}), b'\n')
    )
    for name in records.__slots__:
        content = getattr(records, name)
        entries = content if isinstance(content, list) else [content]
        for entry in entries:
            document = {'record': name, **_fields_of(entry)}
            output.writelines((msgspec.json.encode(document), b'\n'))


def _fields_of(entry):
    if isinstance(entry, RequestRecord):
        return _request_fields(entry)
    if is_dataclass(entry):
        return asdict(entry)
    content = sorted(entry) if isinstance(entry, set) else entry
    return {'content': content}


def _request_fields(record):
    """Return the fields of a request, with a short body and one identifier."""
    shown = asdict(replace(record, resumes=None))
    shown['body'] = record.body[:_SHOWN_BYTES].decode('latin-1')
    shown['resumes'] = record.resumes.ident if record.resumes else ''
    return shown
