"""Steps of complete hosts of a domain whose readers or store fail."""

from collections import Counter

from behave import given, then, when
from twisted.internet.defer import succeed

from pollenstile.bench._domainworld import DomainWorld
from pollenstile.bench.lag import measure_lag
from pollenstile.relay._messages import (
    RelayUpdate,
    decode_update,
    encode_update,
)

_MS = 1000
# Length of the interval, at the end of a run, in which hosts must have settled.
_SETTLED_SECONDS = 12.0


@given('a domain of {hosts:d} hosts')
def given_domain(context, hosts):
    context.world = DomainWorld(hosts, apply_seconds=3.0, leave_seconds=3.0)


def _count_no_store(ask, no_store_answers):
    """Return an ``ask`` that counts the answers of peers without the store."""

    def count(answer, peer):
        is_update = isinstance(answer, bytes)
        no_store_answers[peer] += (
            is_update and not decode_update(answer).has_store
        )
        return answer

    return lambda peer, *rest: ask(peer, *rest).addCallback(count, peer)


@when('the store refuses its readers, and {seconds:g} seconds pass')
def when_readers_refused(context, seconds):
    context.no_store_answers = {name: Counter() for name in context.world.hosts}
    for name, relay_host in context.world.hosts.items():
        relay = relay_host.daemon.parts.relay
        relay.follower.ask = _count_no_store(
            relay.follower.ask, context.no_store_answers[name]
        )
    for host in context.world.readers():
        host.path.refuses = True
    context.world.advance(seconds)


@when('the store {fault} all hosts, and {seconds:g} seconds pass')
def when_all_lost(context, fault, seconds):
    for host in context.world.hosts.values():
        host.path.refuses = fault == 'refuses'
        host.path.silent = fault == 'ignores'
        host.path.kinds.clear()
    context.world.advance(seconds)


@when('{seconds:g} seconds pass there, and its upstream leaves')
def when_leaves(context, seconds):
    context.world.advance(seconds)
    context.world.mark_upstream_leaving()


@then('each host knows within {seconds:g} seconds that it leaves')
def then_knows_leaving(context, seconds):
    context.world.advance(seconds)
    hosts = context.world.hosts.values()
    unaware = [host.name for host in hosts if not host.knows_leaving()]
    assert not unaware, unaware


@then('no list of a reader was without an answer')
def then_listed(context):
    silent = [
        (at, host)
        for at, host, event, fields in context.world.logged
        if event == 'watch-silent' and fields['step'] == 'list'
    ]
    assert not silent, silent


@when(
    'an invalid configuration is written, and {seconds:g} seconds pass',
)
def when_unusable(context, seconds):
    alone = DomainWorld(1, **context.world.bounds)
    context.calls = []
    for world in (context.world, alone):
        before = world.calls()
        world.write_configuration('none')
        world.advance(seconds)
        context.calls.append((world.calls() - before) / len(world.hosts))


@given('a domain of {hosts:d} hosts with a bound of {bound:g} seconds')
def given_bound(context, hosts, bound):
    context.world = DomainWorld(hosts, apply_seconds=bound, leave_seconds=bound)


@when('the reader of one of them lags, and {seconds:g} seconds pass')
def when_lags(context, seconds):
    host = list(context.world.hosts.values())[-1]
    revision = host.configuration.revision
    update = RelayUpdate('reader', has_store=True, config_revision=revision - 1)
    relay = host.daemon.parts.relay
    relay.follower.ask = lambda *_: succeed(encode_update(update))
    ages = []
    context.world.advance(
        seconds, lambda: ages.append(host.configuration.age())
    )
    context.oldest = max(ages)


@then('its verification was never over {seconds:g} seconds old')
def then_never_older(context, seconds):
    assert context.oldest <= seconds, context.oldest


@then('no host has switched back to a reader more than {most:d} times')
def then_steady(context, most):
    logged = context.world.logged
    began = context.world.clock.seconds() - _SETTLED_SECONDS
    back = Counter(
        host
        for at, host, event, _ in logged
        if event == 'reader-followed' and at > began
    )
    assert max(back.values(), default=0) <= most, back


@then(
    'each called the store at most a quarter more than a host without readers'
)
def then_called(context):
    each, alone = context.calls
    assert each <= 1.25 * alone, context.calls


@then('one of the other hosts reads the store and the rest follow it')
def then_one_followed(context):
    others = context.world.hosts_in_contact()
    followed = [host.following for host in others]
    readers = [host.name for host in others if not host.following]
    assert len(readers) == 1, readers
    assert followed.count(readers[0]) == len(others) - 1, followed


@then(
    'each other host has received at most {most:d} answers of each of them that'
    ' it has no store'
)
def then_rarely(context, most):
    readers = [host.name for host in context.world.readers()]
    for name in context.world.hosts.keys() - set(readers):
        counts = [context.no_store_answers[name][reader] for reader in readers]
        assert 0 < max(counts) <= most, (name, counts)


@then('no follower has read anything but the configuration from it')
def then_only_configuration(context):
    _, *followers = context.world.hosts.values()
    for host in followers:
        assert set(host.path.kinds) <= {'config'}, (host.name, host.path.kinds)


@when('the fault "{fault}" affects a domain of {hosts:d} hosts')
def when_fault(context, fault, hosts):
    context.lags = [measure_lag(hosts, fault)]


@when('the fault "{fault}" affects domains of {sizes} hosts each')
def when_faults(context, fault, sizes):
    context.lags = [
        measure_lag(int(hosts), fault) for hosts in sizes.split(',')
    ]


@then(
    'each host that reaches the store applied each change within {bound:g}'
    ' seconds'
)
def then_in_time(context, bound):
    for lag in context.lags:
        assert lag.oldest_ms <= bound * _MS, lag
        assert lag.change_ms <= bound * _MS, lag


@then(
    'it applied leaving upstreams and drained domains within {bound:g} seconds',
)
def then_known_in_time(context, bound):
    for lag in context.lags:
        assert lag.leave_ms <= bound * _MS, lag
        assert lag.drain_ms <= bound * _MS, lag


@then('no host refused requests because its configuration was too old')
def then_none_refused(context):
    for lag in context.lags:
        assert lag.refusing_ms == 0, lag
