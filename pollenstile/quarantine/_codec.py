"""News on the peers' protocol."""

import pathlib

from pollenstile.peer import decode_struct, load_schema
from pollenstile.quarantine._types import News, Report, Suspect, Verdict

_MS = 1000
_schema = load_schema(pathlib.Path(__file__).with_name('messages.capnp'))


def news_bytes(news, now):
    """Return the encoding of news; ends become times left."""
    return _schema.News.new_message(
        reports=[_report_row(one) for one in news.reports],
        alive=list(news.alive),
        cleared=[bytes.fromhex(one) for one in news.cleared],
        verdicts=[_verdict_row(one, now) for one in news.verdicts],
    ).to_bytes()


def news_from(encoded, now):
    """Return news; raise BadMessageError when the bytes hold none."""

    def build(reader):
        return News(
            tuple(_report_from(one) for one in reader.reports),
            tuple(reader.alive),
            tuple(one.hex() for one in reader.cleared),
            tuple(_verdict_from(one, now) for one in reader.verdicts),
        )

    return decode_struct(_schema.News, encoded, build)


def _report_row(report):
    return {
        'incarnation': report.incarnation,
        'service': report.service,
        'host': report.host,
        'suspects': [
            {
                'fingerprint': bytes.fromhex(one.fingerprint),
                'team': one.team,
                'ranMs': max(0, int(one.run_seconds * _MS)),
            }
            for one in report.suspects
        ],
    }


def _report_from(reader):
    suspects = tuple(
        Suspect(one.fingerprint.hex(), one.team, one.ranMs / _MS)
        for one in reader.suspects
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
        'leftMs': max(0, int((verdict.ends - now) * _MS)),
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
    )
