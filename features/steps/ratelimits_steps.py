"""Steps for upstreams that limit their request rates."""

from behave import given, then, when

from pollenstile.bench._ratefaults import inject_fault
from pollenstile.bench._rateworld import RateWorld
from pollenstile.ratelimits import NEWS_SUBJECT
from pollenstile.standin.limited import CONTACT_SECONDS, allowed_arrivals

# Seconds from the start of a rate until its use is counted.
_STEADY_SECONDS = 5.0


@given(
    '{hosts:d} hosts and {upstreams:d} upstreams in {domains:d} failure domains'
    ' that state their rates'
)
def given_world(context, hosts, upstreams, domains):
    context.world = RateWorld(hosts, upstreams, domains)


@when(
    'an upstream states a rate of {rate:g} a second, with {load:g} requests a'
    ' second to all hosts for {seconds:g} seconds'
)
def when_states(context, rate, load, seconds):
    world = context.world
    context.address = world.addresses()[0]
    context.rate = rate
    context.began = world.fleet.clock.seconds()
    world.upstreams.rates[context.address] = rate
    world.schedule_traffic(load, seconds)
    world.advance(seconds)


@given('the fault "{fault}" while an upstream states its rate')
def given_fault(context, fault):
    context.world.advance(2.0)
    inject_fault(context.world, context.world.addresses()[0], fault)


@then('in no 4 seconds it gets more from all hosts than the rate allows')
def then_kept_by_all(context):
    until = context.world.fleet.clock.seconds()
    since = context.began + CONTACT_SECONDS
    most = context.world.most_arrivals(context.address, since, until)
    allowed = allowed_arrivals(context.rate)
    assert most <= allowed, (most, allowed)


@then('it gets at least {share:g} of what the rate permits')
def then_used(context, share):
    until = context.world.fleet.clock.seconds()
    since = context.began + _STEADY_SECONDS
    upstreams = context.world.upstreams
    arrivals = upstreams.arrivals_at(context.address, since, until)
    permitted = context.rate * (until - since)
    assert len(arrivals) >= share * permitted, (len(arrivals), permitted)


@then(
    'from {seconds:g} seconds after its first statement it gets no more than a'
    ' rate of {rate:g} allows'
)
def then_lowered(context, seconds, rate):
    until = context.world.fleet.clock.seconds()
    since = context.began + seconds
    most = context.world.most_arrivals(context.address, since, until)
    assert most <= allowed_arrivals(rate), most


def _tell(context, host, rate):
    """Let a host hear the first upstream's rate."""
    process = next(iter(context.world.upstreams.processes.values()))
    context.upstream_name = f'{process.ident}/0'
    values = [str(rate)] if rate else []
    host.core.rates.stated.note_answer(
        context.upstream_name, values, is_proof=True
    )


@when('one host is told that an upstream accepts {rate:g} request a second')
def when_told(context, rate):
    _tell(context, context.world.fleet.running()[-1], rate)


@when('that host is told that it accepts any number')
def when_told_over(context):
    _tell(context, context.world.fleet.running()[-1], 0)


def _limited_hosts(context):
    return [
        host.name
        for host in context.world.fleet.running()
        if host.core.rates.stated.rate(context.upstream_name)
    ]


@then('all hosts know of the limit within {seconds:g} seconds')
def then_all_know(context, seconds):
    context.world.advance(seconds)
    running = context.world.fleet.running()
    assert len(_limited_hosts(context)) == len(running)


@then('no host knows of a limit after {seconds:g} seconds')
def then_none_knows(context, seconds):
    context.world.advance(seconds)
    assert not _limited_hosts(context), _limited_hosts(context)


@when('another host joins')
def when_joins(context):
    context.world.advance(1.0)
    domain = context.world.fleet.running()[0].domain
    context.world.fleet.add_host('h-new', domain)
    context.world.advance(3.0)


@when(
    'one host is told {count:d} times in {seconds:g} seconds that an upstream is'
    ' limited, and that it is not'
)
def when_flips(context, count, seconds):
    world = context.world
    host = world.fleet.running()[-1]
    context.sent = _count_news(world)
    for number in range(count):
        _tell(context, host, number % 2)
        world.advance(seconds / count)
    world.advance(1.0)


def _count_news(world):
    """Count the messages about rates by receiving and sending host."""
    counts = {}

    def counting(receiver, handle):
        def count_and_handle(sender, body):
            counts[receiver, sender] = counts.get((receiver, sender), 0) + 1
            return handle(sender, body)

        return count_and_handle

    for host in world.fleet.running():
        subjects = host.daemon.parts.hub.requests.subjects
        subjects[NEWS_SUBJECT] = counting(host.name, subjects[NEWS_SUBJECT])
    return counts


@then('no host has sent over {most:d} messages of it to one of its neighbours')
def then_few_messages(context, most):
    assert context.sent
    assert max(context.sent.values()) <= most, context.sent


@when('that upstream crashes, and starts again without a rate')
def when_reborn(context):
    upstreams = context.world.upstreams
    upstreams.rates.pop(context.address)
    upstreams.crash(upstreams.processes[context.address])
    context.world.advance(4.0)
    context.reborn_at = context.world.fleet.clock.seconds()


@then(
    'the new incarnation gets over {most:d} of {load:g} requests a second in the'
    ' next {seconds:g} seconds'
)
def then_full_use(context, most, load, seconds):
    context.world.schedule_traffic(load, seconds)
    context.world.advance(seconds)
    arrivals = context.world.upstreams.arrivals_at(
        context.address, context.reborn_at, context.reborn_at + seconds
    )
    assert len(arrivals) > most, arrivals


@when("the host that allocates a limited upstream's rate leaves")
def when_allocator_leaves(context):
    context.address = context.world.addresses()[0]
    context.left = context.world.allocator(context.address)
    context.left.core.rates.leave()


@then('it ranks another host first for that upstream')
def then_other_first(context):
    process = context.world.upstreams.processes[context.address]
    ranking = context.left.core.rates.ranking
    order = ranking.order(f'{process.ident}/0', process.domain)
    assert order
    assert context.left.name not in order, order


@then(
    'in no 4 seconds it gets more from the hosts that know than the rate allows'
)
def then_kept(context):
    until = context.world.fleet.clock.seconds()
    most = context.world.most_arrivals(
        context.address,
        context.began + CONTACT_SECONDS,
        until,
        told_only=True,
    )
    allowed = allowed_arrivals(context.rate)
    assert most <= allowed, (most, allowed)


def _remove_from_lists(context, missing):
    """Let a host go missing from the lists of all others."""
    context.missing = missing
    for host in context.world.fleet.running():
        if host is missing:
            continue
        hosts = host.daemon.parts.members.hosts
        hosts.pop(missing.name)
        domains = {name: peer.domain for name, peer in hosts.items()}
        host.core.rates.update_hosts(domains)


def _first_allocator(context):
    context.address = context.world.addresses()[0]
    return context.world.allocator(context.address)


@when('the allocator of that upstream goes missing from the lists of all hosts')
def when_missing(context):
    context.world.advance(1.0)
    _remove_from_lists(context, _first_allocator(context))


@when('the allocator of that upstream leaves, and goes missing from all lists')
def when_leaves_and_missing(context):
    context.world.advance(1.0)
    allocator = _first_allocator(context)
    allocator.core.rates.leave()
    _remove_from_lists(context, allocator)


@when('it ends')
def when_missing_ends(context):
    context.missing.end()


def _ranked_first(context):
    process = context.world.upstreams.processes[context.address]
    return {
        host.core.rates.ranking.order(f'{process.ident}/0', process.domain)[0]
        for host in context.world.fleet.running()
        if host is not context.missing
    }


@then('after {seconds:g} seconds all hosts still rank it first')
def then_still_first(context, seconds):
    context.world.advance(seconds)
    assert _ranked_first(context) == {context.missing.name}


@then('after {seconds:g} seconds all hosts rank another one first')
def then_another_first(context, seconds):
    context.world.advance(seconds)
    first = _ranked_first(context)
    assert len(first) == 1, first
    assert context.missing.name not in first, first
