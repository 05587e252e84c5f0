"""Steps for cold upstreams."""

from behave import given, then, when
from twisted.internet.task import Clock

from features.builders.forward import SERVICE, ForwardScenario
from pollenstile.forward import ColdShares, Registry, Upstream, UpstreamView

_STEP = 0.01
_SPREAD = 0.003


def _entry(cold_seconds):
    return Upstream('a', SERVICE, 'a:1', 'd', cold_seconds=cold_seconds)


@given(
    'a registry whose upstream "a" reports that it is cold for {seconds:g} seconds'
)
def given_cold(context, seconds):
    context.clock = Clock()
    context.registry = Registry(context.clock)
    context.registry.apply('a', _entry(seconds))


@when('"a" reports that it is warm')
def when_warm(context):
    context.registry.apply('a', _entry(0.0))


@when('"a" reports that it is cold for {seconds:g} seconds without a restart')
def when_cold_again(context, seconds):
    context.registry.apply('a', _entry(seconds))


def _is_cold(context):
    return context.registry.views['a'].cold_until > context.clock.seconds()


@then(
    '"a" counts as cold for the next {seconds:g} seconds and not after {later:g}'
)
def then_cold(context, seconds, later):
    context.clock.advance(seconds)
    assert _is_cold(context)
    context.clock.advance(later - seconds)
    assert not _is_cold(context)


@then('"a" counts as warm')
def then_warm(context):
    assert not _is_cold(context)


@given(
    'upstreams that accept {rate:d} requests a second while cold, "{names}" of'
    ' them cold'
)
def given_rate(context, rate, names):
    context.story = ForwardScenario('once', cold_rate=float(rate))
    for name in names.split(','):
        view = context.story.registry.views[name]
        view.cold_until = 100.0


@given('a host that is the only one')
def given_alone(context):
    context.story.core.cold = ColdShares('h', 'd')
    context.story.core.cold.update_hosts({})


@when('{count:d} requests arrive within one second')
def when_taken_in(context, count):
    for number in range(count):
        # Copies of one request would go to one upstream together.
        context.story.start(fingerprint=f'f{number}')
        context.story.clock.advance(1 / (count + 1))


@then('of {count:d} requests within one second {sent:d} went to "{name}"')
def then_of_them(context, count, sent, name):
    when_taken_in(context, count)
    address = context.story.registry.views[name].address
    found = [call for call in context.story.calls if call.address == address]
    assert len(found) == sent, len(found)
    assert len(context.story.calls) == count


@then(
    'the last of them is refused as "{reason}" with retry advice of'
    ' {least:g} to {most:g} seconds'
)
def then_last_refused(context, reason, least, most):
    refusal = context.story.answer.refusal
    assert refusal.status == 503, refusal
    assert refusal.reason == reason, refusal
    assert least <= refusal.retry_after <= most, refusal


@then('{count:d} forwarded sends were made in all')
def then_sends(context, count):
    assert len(context.story.calls) == count, len(context.story.calls)


class _Sender:
    """A host that sends as much to cold upstreams as its shares allow."""

    def __init__(self, name, domain, views):
        self.shares = ColdShares(name, domain)
        self.views = views


@given(
    '{count:d} hosts in {domains:d} domains, and {upstreams:d} upstreams that'
    ' accept {rate:d} requests a second'
)
def given_fleet(context, count, domains, upstreams, rate):
    context.rate = float(rate)
    context.domains = {f'h{one}': f'd{one % domains}' for one in range(count)}
    context.senders = []
    for name, domain in context.domains.items():
        views = [
            UpstreamView(
                f'i{one}', f'i{one}:1', f'd{one % domains}', cold_until=99
            )
            for one in range(upstreams)
        ]
        context.senders.append(_Sender(name, domain, views))
        others = dict(context.domains)
        others.pop(name)
        context.senders[-1].shares.update_hosts(others)


@given('each half of the hosts knows only its own members')
def given_halves(context):
    names = list(context.domains)
    middle = len(names) // 2
    for half in (names[:middle], names[middle:]):
        for sender in context.senders:
            if sender.shares.host not in half:
                continue
            known = {one: context.domains[one] for one in half}
            known.pop(sender.shares.host)
            sender.shares.update_hosts(known)


@when(
    'every host sends each of them all that its share allows for {seconds:d} seconds'
)
def when_sent(context, seconds):
    context.arrivals = {}
    for step in range(round(seconds / _STEP)):
        for place, sender in enumerate(context.senders):
            now = step * _STEP + place * _SPREAD
            _send_all(context, sender, now)


def _send_all(context, sender, now):
    for view in sender.views:
        if sender.shares.may_send(view, context.rate, now):
            sender.shares.note_sent(view, context.rate, now)
            context.arrivals.setdefault(view.ident, []).append(now)


@then('no upstream got more than {count:d} requests in any second')
def then_at_most(context, count):
    for ident, moments in context.arrivals.items():
        moments.sort()
        for place, moment in enumerate(moments):
            window = [one for one in moments[place:] if one < moment + 1]
            assert len(window) <= count, (ident, moment, len(window))


@then('each upstream got at least {count:d} requests')
def then_at_least(context, count):
    for ident, moments in context.arrivals.items():
        assert len(moments) >= count, (ident, len(moments))
    assert len(context.arrivals) == 8
