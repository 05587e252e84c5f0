"""Steps for failure domains that a host can't reach."""

from behave import given, then, when

from features.builders.reachability import ReachabilityHost, play_cut


@given('a host in "{own}" with {count:d} upstreams in each of "{domains}"')
def given_host(context, own, count, domains):
    context.host = ReachabilityHost(own, domains.split(','), count)


@when('connections to {count:d} upstream of "{domain}" time out')
@when('connections to {count:d} upstreams of "{domain}" time out')
def when_time_out(context, count, domain):
    context.host.time_out(domain, count)


@when('each timeout is followed by a connection')
def when_followed_by_connection(context):
    context.host.after_timeout = context.host.open_one


@when('each timeout is followed by {seconds:g} seconds')
def when_followed_by_time(context, seconds):
    context.host.after_timeout = lambda _: context.host.clock.advance(seconds)


@when(
    'connections to {count:d} upstreams of "{domain}" time out'
    ' one after the other'
)
def when_time_out_in_turn(context, count, domain):
    context.host.after_timeout(domain)
    context.host.time_out(domain, count)


@when('{seconds:g} seconds pass')
def when_time_passes(context, seconds):
    context.host.clock.advance(seconds)


@when('the network to "{domain}" is mended')
def when_mended(context, domain):
    context.host.cut.discard(domain)


@then('the upstreams of "{domains}" are chosen from')
def then_chosen_from(context, domains):
    chosen = context.host.reachable_domains()
    assert chosen == domains.split(','), chosen


@given(
    '{hosts:d} hosts in "{own}" with {count:d} upstreams in each of "{domains}"'
)
def given_hosts(context, hosts, own, count, domains):
    context.hosts = [
        ReachabilityHost(own, domains.split(','), count, seed)
        for seed in range(hosts)
    ]


@when('"{domain}" is cut off from them for {seconds:g} seconds under load')
def when_cut_off(context, domain, seconds):
    context.sends = [play_cut(host, domain, seconds) for host in context.hosts]


@then('no host waits for more than {count:d} timeouts')
def then_few_wait(context, count):
    waited = [sends.timed_out for sends in context.sends]
    assert max(waited) <= count, waited


@then(
    'the upstreams of "{domain}" get a fifth of the sends or more after the cut'
)
def then_used_again(context, domain):
    after = [name for sends in context.sends for name in sends.after]
    assert after.count(domain) * 5 >= len(after), (after.count(domain), after)
