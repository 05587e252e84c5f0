"""Steps for admission control under load."""

from behave import given, then

from features.builders.limits import SLOTS, WORK_SECONDS, LoadTest, unchanged
from pollenstile.limits import FairQueue

_CAPACITY_PER_SECOND = 4 * SLOTS / WORK_SECONDS
# Duration of the light load before a burst; not measured.
_WARM_UP_SECONDS = 2.0
_SMALL_TEAMS = ('small0', 'small1', 'small2')


class _OpenAdmission:
    """Admission without limits: every request starts at once."""

    async def admit(self, request):
        """Return None."""

    def request_ended(self, request):
        """Do nothing."""

    def stage_ended(self, request, stage):
        """Do nothing."""


class _OneAccountQueue(FairQueue):
    """A queue without fair sharing: all teams have one account."""

    def tag(self, team, rank):
        """Return the same start tag for all teams."""
        return 0

    def is_ahead(self, team, rank):
        """Return that no team has exceeded its share."""
        return False


def _remove_admission(node):
    node.core.admission = _OpenAdmission()


def _burst_rates(load):
    # A fifth is urgent: at three times the capacity, urgent requests alone use
    # three fifths of it.
    rates = {}
    for urgency, share in (('urgent', 0.2), ('normal', 0.3), ('batch', 0.5)):
        for team, part in (
            ('large', 0.55),
            *((small, 0.15) for small in _SMALL_TEAMS),
        ):
            rates[team, urgency] = _CAPACITY_PER_SECOND * load * share * part
    return rates


def _burst(hosts, load, *, straggler=False, change=unchanged):
    load_test = LoadTest(hosts, change)
    load_test.load(_WARM_UP_SECONDS, _burst_rates(0.5))
    if straggler:
        load_test.upstreams['u0'].faults.slow = 10.0
    load_test.load(4, _burst_rates(load))
    load_test.answered_by = len(_answered(load_test))
    load_test.queued_per_slot = _queued_per_slot(load_test)
    load_test.drain()
    return load_test


def _flood(change=unchanged):
    load_test = LoadTest(2, change)
    rates = {('large', 'urgent'): _CAPACITY_PER_SECOND * 4}
    for team in _SMALL_TEAMS:
        rates[team, 'urgent'] = _CAPACITY_PER_SECOND * 0.03
        rates[team, 'normal'] = _CAPACITY_PER_SECOND * 0.03
    load_test.load(6, rates)
    load_test.drain(4)
    return load_test


def _worst_small_team(load_test):
    shares = [
        load_test.attainment(_WARM_UP_SECONDS, team=team)
        for team in _SMALL_TEAMS
    ]
    return min(shares)


@given(
    'limits hosts under a burst of {load:d} times the capacity with one straggler'
)
def step_burst_straggler(context, load):
    context.load_test = _burst(2, load, straggler=True)
    context.answered_by = context.load_test.answered_by
    context.rerun = lambda change: _burst(
        2, load, straggler=True, change=change
    )


@given('limits hosts under a burst of {load:d} times the capacity')
def step_burst(context, load):
    context.load_test = _burst(2, load)


@given('{hosts:d} limits hosts under a burst of {load:d} times the capacity')
def step_many(context, hosts, load):
    context.load_test = _burst(hosts, load)
    context.rerun = lambda change: _burst(hosts, load, change=change)


def _answered(load_test):
    return [
        record
        for record in load_test.records
        if record['asked'] >= _WARM_UP_SECONDS
        and record.get('outcome')
        and record['outcome'].tag == 'answered'
    ]


@then('limits urgent attainment is at least {share:g}')
def step_urgent(context, share):
    found = context.load_test.attainment(_WARM_UP_SECONDS, urgency='urgent')
    assert found >= share, found


@then('limits goodput is at least {share:g} of the remaining capacity')
def step_goodput(context, share):
    remaining = 4 * _CAPACITY_PER_SECOND * 3 / 4
    assert context.answered_by >= share * remaining, (
        context.answered_by,
        remaining,
    )


@then('without limits admission urgent attainment is below {share:g}')
def step_without_admission(context, share):
    load_test = context.rerun(_remove_admission)
    found = load_test.attainment(_WARM_UP_SECONDS, urgency='urgent')
    assert found < share, found


@given(
    'limits hosts that one team floods with 4 times the capacity of urgent requests',
)
def step_flood(context):
    context.load_test = _flood()


@then('limits attainment of the small teams is at least {share:g}')
def step_small(context, share):
    found = _worst_small_team(context.load_test)
    assert found >= share, found


@then('with one limits account for all teams it is below {share:g}')
def step_one_account(context, share):
    def change(node):
        node.core.admission.queue = _OneAccountQueue()

    found = _worst_small_team(_flood(change))
    assert found < share, found


@then('every limits refusal gives a time to retry')
def step_retry_after(context):
    refusals = context.load_test.refusals()
    assert refusals
    for record in refusals:
        assert record['outcome'].retry_after >= 1, record


@then('most limits refusals arrive within {seconds:g} seconds')
def step_at_once(context, seconds):
    refusals = context.load_test.refusals()
    quick = [
        record
        for record in refusals
        if record['at'] - record['asked'] <= seconds
    ]
    assert len(quick) > 0.7 * len(refusals), (len(quick), len(refusals))


@then('no limits refusal arrives after its deadline')
def step_in_time(context):
    for record in context.load_test.refusals():
        assert record['at'] <= record['deadline'], record


@then('no limits invariant is broken')
def step_invariants(context):
    for node in context.load_test.nodes:
        assert not node.core.ledger.broken, node.core.ledger.broken


def _steady(change=unchanged):
    load_test = LoadTest(2, change)
    rates = {}
    for team in ('large', *_SMALL_TEAMS):
        rates[team, 'urgent'] = _CAPACITY_PER_SECOND * 0.3
    rates['small0', 'batch'] = _CAPACITY_PER_SECOND * 0.05
    load_test.load(14, rates)
    load_test.drain()
    return load_test


def _batch_attainment(load_test):
    batch = [
        record
        for record in load_test.records
        if record['urgency'] == 'batch' and record['asked'] < 4
    ]
    answered = [
        record
        for record in batch
        if record.get('outcome') and record['outcome'].tag == 'answered'
    ]
    assert batch
    return len(answered) / len(batch)


@given('limits hosts with steady urgent load above capacity and some batch')
def step_steady(context):
    context.load_test = _steady()


@then('limits batch attainment is at least {share:g}')
def step_batch(context, share):
    found = _batch_attainment(context.load_test)
    assert found >= share, found


@then('without limits reserves it is below {share:g}')
def step_no_reserves(context, share):
    def change(node):
        node.core.admission.queue.reserves = {}
        node.core.admission.queue.max_lead = float('inf')

    found = _batch_attainment(_steady(change))
    assert found < share, found


@given('flooded limits hosts with a queue of {most:d} requests')
def step_short_queue(context, most):
    load_test = LoadTest(2, max_queue=most)
    rates = {('large', 'batch'): _CAPACITY_PER_SECOND * 4}
    for team in _SMALL_TEAMS:
        rates[team, 'batch'] = _CAPACITY_PER_SECOND * 0.03
    load_test.load(5, rates)
    load_test.drain(2)
    context.load_test = load_test


def _queued_per_slot(load_test):
    waiting = sum(
        len(upstream.slots.waiting) for upstream in load_test.upstreams.values()
    )
    return waiting / (len(load_test.upstreams) * SLOTS)


@then("the limits workers' queues are below {most:g} call per slot at the end")
def step_queues(context, most):
    found = context.load_test.queued_per_slot
    assert found < most, found


@then("with fixed limits of a worker's slots they are above {least:g}")
def step_fixed(context, least):
    def change(node):
        node.core.concurrency.rule = _keep_limit
        node.core.admission.reservations.total = _all_slots

    found = context.rerun(change).queued_per_slot
    assert found > least, found


def _keep_limit(value, load_pressure, in_flight, slots):
    return value


def _all_slots(pool):
    return sum(upstream.slots for upstream in pool.upstreams.values())
