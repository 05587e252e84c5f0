"""Encoding of quarantine updates for the peer protocol."""

import pathlib

from pollenstile.peer import decode_struct, load_schema
from pollenstile.quarantine._types import (
    PartProof,
    QuarantineUpdate,
    Report,
    Suspect,
    Verdict,
)

_MS = 1000
_schema = load_schema(pathlib.Path(__file__).with_name('messages.capnp'))


def encode_update(update, now):
    """Return an encoded update; expiry times become remaining times."""
    return _schema.News.new_message(
        reports=[_report_row(report) for report in update.reports],
        alive=list(update.alive),
        cleared=[bytes.fromhex(digest) for digest in update.cleared],
        verdicts=[_verdict_row(verdict, now) for verdict in update.verdicts],
        proofs=[
            {'part': bytes.fromhex(proof.part), 'service': proof.service}
            for proof in update.proofs
        ],
    ).to_bytes()


def decode_update(encoded, now):
    """Return a decoded update; raise BadMessageError for malformed bytes."""

    def build(reader):
        return QuarantineUpdate(
            tuple(_report_from(report) for report in reader.reports),
            tuple(reader.alive),
            tuple(digest.hex() for digest in reader.cleared),
            tuple(_verdict_from(verdict, now) for verdict in reader.verdicts),
            tuple(
                PartProof(proof.part.hex(), proof.service)
                for proof in reader.proofs
            ),
        )

    return decode_struct(_schema.News, encoded, build)


def _report_row(report):
    return {
        'incarnation': report.incarnation,
        'service': report.service,
        'host': report.host,
        'suspects': [
            {
                'fingerprint': bytes.fromhex(suspect.fingerprint),
                'team': suspect.team,
                'ranMs': max(0, int(suspect.run_seconds * _MS)),
                'parts': [bytes.fromhex(part) for part in suspect.parts],
            }
            for suspect in report.suspects
        ],
    }


def _report_from(reader):
    suspects = tuple(
        Suspect(
            suspect.fingerprint.hex(),
            suspect.team,
            suspect.ranMs / _MS,
            tuple(part.hex() for part in suspect.parts),
        )
        for suspect in reader.suspects
    )
    return Report(reader.incarnation, reader.service, reader.host, suspects)


def _verdict_row(verdict, now):
    return {
        'fingerprint': bytes.fromhex(verdict.fingerprint),
        'team': verdict.team,
        'service': verdict.service,
        'crashes': verdict.crashes,
        'changed': verdict.changed,
        'held': verdict.is_held,
        'leftMs': max(0, int((verdict.expires_at - now) * _MS)),
        'isPart': verdict.is_part,
    }


def _verdict_from(reader, now):
    return Verdict(
        reader.fingerprint.hex(),
        reader.team,
        reader.service,
        reader.crashes,
        reader.changed,
        reader.held,
        now + reader.leftMs / _MS,
        reader.isPart,
    )
