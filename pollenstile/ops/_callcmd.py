"""``pollenstile call``: sends a request to an entry host as a caller."""

import sys

import msgspec

from pollenstile.ops.client import pipeline_client
from pollenstile.ops.exits import BAD_INPUT, BAD_RESULT, GOOD, UNREACHED
from pollenstile.ops.running import result_of


def add_parser(commands):
    """Add the subcommand."""
    parser = commands.add_parser('call', help='send a request')
    parser.add_argument('pipeline', help='name of the pipeline in the manifest')
    parser.add_argument(
        'input', help='request input as JSON; - reads standard input'
    )
    parser.add_argument(
        '--base',
        default='http://127.0.0.1:8080',
        help="an entry host's address for callers",
    )
    parser.add_argument('--key', default='', help="the team's key")
    parser.add_argument(
        '--idempotency-key', default='', help='identifies repeats'
    )
    parser.add_argument(
        '--deadline-ms', type=int, default=0, help='shorter deadline'
    )
    parser.add_argument(
        '--stream', action='store_true', help='print tokens as received'
    )
    parser.set_defaults(run=run)


def run(arguments):
    """Send the request, print the answer and return the exit code."""
    from twisted.internet import reactor  # noqa: WPS433

    text = arguments.input
    if text == '-':
        text = sys.stdin.read()
    try:
        content = msgspec.json.decode(text)
    except msgspec.MsgspecError as error:
        sys.stderr.write(f'pollenstile call: input: {error}\n')
        return BAD_INPUT
    call = pipeline_client(reactor)
    answer = result_of(
        reactor,
        lambda: call(
            arguments.base,
            arguments.pipeline,
            arguments.key,
            content,
            stream=arguments.stream,
            idempotency_key=arguments.idempotency_key,
            deadline_ms=arguments.deadline_ms,
            on_bytes=_print_bytes if arguments.stream else _print_nothing,
        ),
    )
    if not arguments.stream or answer.outcome != 'answered':
        shown = msgspec.json.encode(answer.document)
        print(msgspec.json.format(shown, indent=2).decode())
    if answer.outcome == 'answered':
        return GOOD
    return BAD_RESULT if answer.status else UNREACHED


def _print_bytes(received):
    sys.stdout.write(received.decode(errors='replace'))
    sys.stdout.flush()


def _print_nothing(received):
    """Ignore partial data; the complete answer is printed at the end."""
