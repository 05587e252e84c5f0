"""Steps of whole hosts of a domain whose readers or store fail."""

from behave import then, when

from pollenstile.bench.lag import lag_of

_MS = 1000


@when('"{fault}" comes over a domain of {hosts:d} hosts')
def when_fault(context, fault, hosts):
    context.lags = [lag_of(hosts, fault)]


@when('"{fault}" comes over a domain of each of {sizes} hosts')
def when_faults(context, fault, sizes):
    context.lags = [lag_of(int(hosts), fault) for hosts in sizes.split(',')]


@then(
    'each host in touch with the store had each change within {bound:g} seconds'
)
def then_in_time(context, bound):
    for lag in context.lags:
        assert lag.oldest_ms <= bound * _MS, lag
        assert lag.change_ms <= bound * _MS, lag


@then(
    'it knew of upstreams that leave and of drained domains within {bound:g}'
    ' seconds'
)
def then_known_in_time(context, bound):
    for lag in context.lags:
        assert lag.leave_ms <= bound * _MS, lag
        assert lag.drain_ms <= bound * _MS, lag
