"""Steps for the transfer of shared prompt parts."""

import json

from behave import given, then, when

from features.builders.forward import NAMES, SERVICE
from features.builders.forwardhost import request
from features.builders.promptparts import (
    SUBJECT,
    TRANSFER,
    PartScenario,
    by_weight,
)
from features.steps.platform_adapter_steps import decode_table
from pollenstile.bench.promptparts import PartMoves
from pollenstile.forward import Upstream
from pollenstile.routes import PartTransfer

_FULL = 200
_SLOW = PartTransfer(1000, 5e7)
_PROMPTS = {
    '127 tokens are shared': (('head', 5), (SUBJECT, 122), ('own', 9000)),
    'the prompt has a single part': ((SUBJECT, 4000),),
}
_FIELDS = {
    'has failed a connection': {'unreached_since': 99.0},
    'backs off': {'backoff_until': 101.0},
    'is silent': {'silent_since': 99.0, 'silent_until': 101.0},
    'sends bytes of no answer': {'no_progress_until': 101.0},
    'has another software version': {'software': 'v2'},
}


@given('engines that move prompt parts')
def given_engines(context):
    context.story = PartScenario()


@given('engines that move prompt parts, but {case}')
def given_engines_but(context, case):
    transfers = {'nothing is configured': None, 'links are slow': _SLOW}
    context.story = PartScenario(transfers.get(case, TRANSFER))
    context.story.sizes = _PROMPTS.get(case, context.story.sizes)


@given('the home engine is full')
def given_full(context):
    context.story.view(0).in_flight = _FULL


@given('the home engine has {count:d} requests in flight and {slots:d} slots')
def given_load(context, count, slots):
    context.story.view(0).in_flight = count
    context.story.view(0).slots = slots


@given('the home engine {state}')
def given_state(context, state):
    story = context.story
    home = story.view(0)
    if state == 'is reached through peers only':
        story.core.part_sources.has_lost_path = home.address.__eq__
    if state == 'is in a domain that is lost':
        # The host has not tried the home engine itself since.
        for place in (2, 4):
            story.view(place).unreached_since = 99.0
    for name, field in _FIELDS.get(state, {}).items():
        setattr(home, name, field)


@when('a new engine becomes the home engine and the former one {change}')
def when_joined(context, change):
    story = context.story
    names = (f'n{number}' for number in range(1000))
    home = story.registry.upstreams[story.order[0]]
    new = next(
        name for name in names if by_weight([name, home.ident])[0] == name
    )
    story.registry.apply(new, Upstream(new, SERVICE, '10.0.9.9:1', 'd'))
    if change == 'leaves':
        left = Upstream(home.ident, SERVICE, home.address, 'e', leaving=True)
        story.registry.apply(home.ident, left)
    if change == 'is gone':
        story.registry.drop(home.ident)


@when('{seconds:d} s later a request with a prompt is sent')
def when_sent_later(context, seconds):
    context.story.clock.advance(seconds)
    when_sent(context)


@when('a request with a prompt is sent')
def when_sent(context):
    context.story.start(prompt=context.story.sizes)


def _source(context, send=0):
    address = context.story.calls[send].headers.get(NAMES.part_source, b'')
    return address.decode()


def _address(context, place):
    """Return the address of the engine at a place of the order."""
    return f'10.0.0.{context.story.order[place][1:]}:1'


@then('it names the home engine as its source, and the log says why')
def then_home(context):
    home = context.story.order[0]
    assert _source(context) == _address(context, 0), context.story.calls
    line = context.story.lines('forwarded')[0]
    assert line['part_source'] == f'{home} (home)', line
    assert context.story.core.part_sources.named == {'home': 1}


@then('it names the {engine} engine as its source')
def then_named(context, engine):
    place = {'former home': 0, 'second': 1}[engine]
    assert _source(context) == _address(context, place)


@then('it does not name the home engine as its source')
def then_not_home(context):
    assert context.story.calls[0].address != _address(context, 0)
    assert _source(context) != _address(context, 0)


@then('forwarded send {place:d} names no source')
def then_send_none(context, place):
    assert not _source(context, place)


@when('a caller names a source of prompt parts')
def when_caller_names(context):
    forged = request(extra=b'X-Part-Source: 10.0.0.1:1\r\n')
    context.connection = context.host.exchange(forged)


@then('the upstream receives no source')
def then_no_source(context):
    assert b'part-source' not in context.host.seen[0].lower()


@given('a platform service with the engine {engine}')
def given_service(context, engine):
    service = {'name': SERVICE, 'engine': json.loads(engine)}
    context.document = {'version': 1, 'services': [service]}


@then('its transfer of prompt parts is {transfer}')
def then_transfer(context, transfer):
    expected = PartTransfer(1000, 1e9) if transfer == 'known' else None
    try:
        table = decode_table(context.document)
    except ValueError as error:
        assert transfer == 'malformed' and 'engine' in str(error), error
        return
    assert transfer != 'malformed'
    assert table.services[SERVICE].part_transfer == expected


@given(
    '{hosts:d} hosts and {engines:d} engines of which {replaced:d} are replaced'
    ' and 1 crashes'
)
def given_load_test(context, hosts, engines, replaced):
    context.counts = {}
    for transfer in (None, TRANSFER):
        moves = PartMoves(hosts, engines, replaced, transfer)
        moves.run()
        context.counts[transfer] = moves.counts


@then('with transfers at most half as many tokens are read again as without')
def then_half(context):
    with_transfers, without = context.counts[TRANSFER], context.counts[None]
    assert with_transfers['read_again'] * 2 <= without['read_again'], (
        context.counts
    )


@then('at most {count:d} requests in 1000 name a source that has ended')
def then_few_stalled(context, count):
    counts = context.counts[TRANSFER]
    assert counts['stalled'] * 1000 <= count * counts['sent'], counts
