"""Steps of whole hosts of a domain whose readers or store fail."""

from behave import then, when

from pollenstile.bench.lag import lag_of

_MS = 1000


@when('"{fault}" comes over a domain of {hosts:d} hosts')
def when_fault(context, fault, hosts):
    context.lag = lag_of(hosts, fault)


@then(
    'each host in touch with the store had each change within {bound:g} seconds'
)
def then_in_time(context, bound):
    assert context.lag.oldest_ms <= bound * _MS, context.lag
    assert context.lag.change_ms <= bound * _MS, context.lag
