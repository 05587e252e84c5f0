"""Problem documents of answers that report an error."""

import msgspec


def problem_body(status, title, outcome, **members):
    """Return a problem document (RFC 9457)."""
    document = {'status': status, 'title': title, 'outcome': outcome}
    document.update(members)
    return msgspec.json.encode(document)
