"""Steps for drained failure domains."""

from behave import given, then, when
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from features.builders.forward import ForwardScenario, event_bytes
from features.builders.loop import result_of, run_reactor_until
from features.builders.relay import RelayFleet, RelayHost
from features.builders.stagework import LIMITS, Queue, group, workers
from pollenstile.forward import DRAINED
from pollenstile.ops._draincmd import (
    HostDrain,
    drain_lines,
    exit_code,
    parse_drain,
    write_drain,
)
from pollenstile.platform import Written
from pollenstile.standin.objectapi import MemoryStore

_ADDRESSES = {'a': '10.0.0.0:1', 'b': '10.0.0.1:1'}


@given('upstreams in "{domains}" and a forwarded "{kind}" request')
def given_story(context, domains, kind):
    names = domains.split(',')
    context.story = ForwardScenario(kind, upstreams=len(names), domains=names)


@when('the domain "{domain}" is drained')
def when_drained(context, domain):
    context.story.registry.drain(frozenset((domain,)))


@when('the drain of the domain "{domain}" ends')
def when_taken_back(context, domain):
    context.story.registry.drain(frozenset())


@when('the request arrives')
def when_taken_in(context):
    context.story.start()


@when(
    'forwarded send {place:d} begins a stream with events {first:d} to {last:d}'
)
def when_streams(context, place, first, last):
    call = context.story.calls[place]
    call.answer()
    call.on_data(b''.join(map(event_bytes, range(first, last + 1))))


@when('the stream of send {place:d} breaks')
def when_breaks(context, place):
    context.story.calls[place].body(whole=False)


@then('forwarded send {place:d} went to "{domain}"')
def then_went_to(context, place, domain):
    address = context.story.calls[place].address
    assert address == _ADDRESSES[domain], address


@then('every later forwarded send went to "{domain}"')
def then_later_to(context, domain):
    later = {call.address for call in context.story.calls[1:]}
    assert later <= {_ADDRESSES[domain]}, later


@then('it is refused as "{reason}" with retry advice')
def then_refused_as(context, reason):
    refusal = context.story.answer.refusal
    assert refusal.reason == reason, refusal
    assert refusal.retry_after > 0, refusal


@given('a stage queue whose workers are in "{domains}"')
def given_queue(context, domains):
    context.domains = domains.split(',')
    context.queue = Queue(*context.domains)


@when('stage groups "{requests}" of {count:d} pieces are submitted to it')
def when_groups(context, requests, count):
    for request in requests.split(','):
        context.queue.submit(group(request, count, size=10))


@when('the stage workers of "{domain}" are drained')
def when_workers_drained(context, domain):
    remaining = [
        worker
        for worker in workers(*context.domains)
        if worker.domain != domain
    ]
    context.queue.owner.configure(LIMITS, remaining)
    context.before = len(context.queue.calls)


@when('the call in "{domain}" is answered')
def when_call_answered(context, domain):
    for place, (worker, _, _) in enumerate(context.queue.calls):
        if worker.domain == domain:
            context.requests = set(context.queue.requests(place))
            context.queue.answer(place)


@then('the group of that call is done')
def then_group_done(context):
    for request in context.requests:
        assert context.queue.outcomes[request].handles, request


@when('{count:d} further stage groups arrive and all calls are answered')
def when_further(context, count):
    for number in range(count):
        context.queue.submit(group(f'later-{number}', 4, size=10))
    for place, (_, _, done) in enumerate(context.queue.calls):
        if not done.called:
            context.queue.answer(place)


@then('no later stage call went to "{domain}"')
def then_no_later(context, domain):
    later = context.queue.calls[context.before :]
    assert later
    assert domain not in {worker.domain for worker, _, _ in later}


@given('hosts "{names}" that watch drained domains')
def given_watching(context, names):
    context.fleet = RelayFleet(names.split(','), drains=True)


def _called(context):
    return {
        name: host.calls.calls for name, host in context.fleet.hosts.items()
    }


@when(
    'the domain "{domain}" is drained in the store and {seconds:g} seconds pass'
)
def when_store_drained(context, domain, seconds):
    before = _called(context)
    context.fleet.write(DRAINED, domain, {})
    context.fleet.advance(seconds)
    context.called = {
        name: count - before[name] for name, count in _called(context).items()
    }


@when(
    'the drain of the domain "{domain}" ends in the store and {seconds:g} seconds'
    ' pass'
)
def when_store_taken_back(context, domain, seconds):
    context.fleet.remove(DRAINED, domain)
    context.fleet.advance(seconds)


@when('the reader {fault}, and "{domain}" is drained {seconds:g} seconds later')
def when_reader_fails(context, fault, domain, seconds):
    reader = context.fleet.hosts['r']
    reader.is_partitioned = fault == 'loses the store'
    reader.frozen = fault == 'freezes'
    reader.gone = fault == 'is gone'
    context.fleet.advance(seconds)
    context.fleet.write(DRAINED, domain, {})


@when('the drain of the domain "{domain}" ends while no watch reports it')
def when_taken_back_unheard(context, domain):
    fleet = context.fleet
    for host in fleet.hosts.values():
        host.is_partitioned = True
    fleet.remove(DRAINED, domain)
    fleet.store.objects.compact()
    for host in fleet.hosts.values():
        host.is_partitioned = False


@when('the reads of the configuration of "{name}" count as failing')
def when_reads_fail(context, name):
    context.fleet.hosts[name].relayed.is_away = _always
    # The pending watch ends within this time.
    context.fleet.advance(3.0)


def _always():
    return True


@when('all of them lose the store and {seconds:g} seconds of relaying pass')
def when_all_lose(context, seconds):
    fleet = context.fleet
    before = _called(context)
    for host in fleet.hosts.values():
        host.is_partitioned = True
    fleet.advance(seconds)
    context.called = {
        name: count - before[name] for name, count in _called(context).items()
    }


@then('none of them has called the store more than {count:d} times meanwhile')
def then_called_most(context, count):
    assert max(context.called.values()) <= count, context.called


@when(
    'they reach the store and "{domain}" is drained and {seconds:g} seconds pass'
)
def when_reached(context, domain, seconds):
    for host in context.fleet.hosts.values():
        host.is_partitioned = False
    when_store_drained(context, domain, seconds)


@when('the host "{name}" starts and {seconds:g} seconds of relaying pass')
def when_starts(context, name, seconds):
    fleet = context.fleet
    fleet.hosts[name] = RelayHost(fleet, name)
    fleet.advance(seconds)


@then('"{names}" have drained "{domain}"')
def then_have_drained(context, names, domain):
    expected = {domain} - {''}
    for name in names.split(','):
        drained = context.fleet.hosts[name].drained
        assert drained == expected, (name, drained)


@then('"{names}" have drained ""')
def then_have_none(context, names):
    then_have_drained(context, names, '')


@then('"{names}" called the store 0 times for it')
def then_no_calls(context, names):
    for name in names.split(','):
        assert context.called[name] == 0, context.called


@then('"{name}" listed the drained domains {count:d} times')
def then_listed(context, name, count):
    calls = context.fleet.hosts[name].calls
    assert calls.listed_kinds.count(DRAINED) == count, calls.listed_kinds


def _registries(context):
    daemons = context.fleet.daemons.values()
    return [daemon.parts.core.registry for daemon in daemons]


@when('the domain of the fleet is drained')
def when_fleet_drained(context):
    result_of(context.fleet.store.put(DRAINED, 'here', {}))
    found = _registries(context)
    run_reactor_until(lambda: all(one.drained for one in found))


@when('the drain of the domain of the fleet ends')
def when_fleet_taken_back(context):
    result_of(context.fleet.store.delete(DRAINED, 'here'))
    found = _registries(context)
    run_reactor_until(lambda: not any(one.drained for one in found))


@then('host "{name}" answers a draft with {status:d}')
def then_answers(context, name, status):
    talk = context.fleet.send(name, 'drained')
    run_reactor_until(lambda: b'\r\n\r\n' in talk.received)
    assert str(status).encode() in talk.received.split(b'\r\n')[0]
    assert b'retry-after' in talk.received.lower(), talk.received


@then('host "{name}" logs event "{event}" with its revision')
def then_logs(context, name, event):
    found = [
        fields
        for host, logged, fields in context.fleet.logged
        if (host, logged) == (name, event)
    ]
    assert [one['domain'] for one in found] == ['here'], found
    assert found[0]['revision'] > 0, found


@then('the metrics of host "{name}" show that the domain is drained')
def then_measured(context, name):
    drained = context.fleet.daemons[name].parts.drained
    assert set(drained.ages()) == {'here'}


_MEASURES = """# TYPE pollenstile_drained_seconds gauge
pollenstile_drained_seconds{domain="%s"} 2.5
# TYPE pollenstile_under_way gauge
pollenstile_under_way{domain="hall"} %d
pollenstile_under_way{domain="other"} 7
"""
_STATES = {
    'both drained': _MEASURES % ('hall', 0),
    'one has not drained': _MEASURES % ('other', 0),
    'one is not empty': _MEASURES % ('hall', 3),
    'one does not answer': '',
}


class _Counted:
    """Counts the writes to a store."""

    def __init__(self, store):
        self.store = store
        self.writes = []

    def get(self, *args):
        """Pass on a read."""
        return self.store.get(*args)

    def put(self, *args):
        """Count a write."""
        self.writes.append('put')
        return self.store.put(*args)

    def delete(self, *args):
        """Count a deletion."""
        self.writes.append('delete')
        return self.store.delete(*args)


@given('a store and the metrics of two hosts, of which {state}')
def given_measures(context, state):
    first = parse_drain('a:1', 'hall', _STATES['both drained'])
    second = HostDrain('b:1', answers=False)
    if _STATES[state]:
        second = parse_drain('b:1', 'hall', _STATES[state])
    context.hosts = [first, second]


@then('the drain command writes the entry, and ends it, each once')
def then_writes(context):
    clock = Clock()
    store = _Counted(MemoryStore(clock))
    for ends in (False, False, True, True):
        done = []
        work = Deferred.fromCoroutine(
            write_drain(store, 'hall', ends=ends),
        )
        work.addBoth(done.append)
        while not done:
            clock.advance(0.01)
        assert isinstance(done[0], Written), done
    assert store.writes == ['put', 'delete'], store.writes


@then('the drain command shows "{line}" with exit code {code:d}')
def then_shows(context, line, code):
    lines = drain_lines('hall', context.hosts)
    assert lines[0].startswith(f'hall: {line}'), lines
    assert exit_code(context.hosts) == code
