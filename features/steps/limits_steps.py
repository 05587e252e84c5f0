"""Steps of admission under load."""

from behave import given, then

from features.builders.limits import SLOTS, WORK, Story, unchanged
from pollenstile.limits import FairQueue

_CAPACITY = 4 * SLOTS / WORK
_SINCE = 2.0
_SMALL = ('small0', 'small1', 'small2')


class _Open:
    """Admission with its guard removed: everything starts."""

    async def admit(self, request):
        """Return None."""

    def request_ended(self, request):
        """Note nothing."""

    def stage_ended(self, request, stage):
        """Note nothing."""


class _OneShare(FairQueue):
    """A queue with its guard removed: teams are not told apart."""

    def tag(self, team, rank):
        """Return the same account for all."""
        return 0

    def is_ahead(self, team, rank):
        """Return that nobody has had too much."""
        return False


def _open(node):
    node.core.admission = _Open()


def _burst_rates(load):
    # A fifth is urgent: at three capacities that alone is three fifths.
    rates = {}
    for urgency, share in (('urgent', 0.2), ('normal', 0.3), ('batch', 0.5)):
        for team, part in (
            ('large', 0.55),
            *((small, 0.15) for small in _SMALL),
        ):
            rates[team, urgency] = _CAPACITY * load * share * part
    return rates


def _burst(hosts, load, *, straggler=False, change=unchanged):
    story = Story(hosts, change)
    story.load(_SINCE, _burst_rates(0.5))
    if straggler:
        story.upstreams['u0'].faults.slow = 10.0
    story.load(4, _burst_rates(load))
    story.answered_by = len(_answered(story))
    story.queued = _queued_per_slot(story)
    story.drain()
    return story


def _flood(change=unchanged):
    story = Story(2, change)
    rates = {('large', 'urgent'): _CAPACITY * 4}
    for team in _SMALL:
        rates[team, 'urgent'] = _CAPACITY * 0.03
        rates[team, 'normal'] = _CAPACITY * 0.03
    story.load(6, rates)
    story.drain(4)
    return story


def _small_share(story):
    shares = [story.attained(_SINCE, team=team) for team in _SMALL]
    return min(shares)


@given('limits hosts under a burst of {load:d} capacities with one straggler')
def step_burst_straggler(context, load):
    context.story = _burst(2, load, straggler=True)
    context.answered_by = context.story.answered_by
    context.again = lambda change: _burst(
        2, load, straggler=True, change=change
    )


@given('limits hosts under a burst of {load:d} capacities')
def step_burst(context, load):
    context.story = _burst(2, load)


@given('{hosts:d} limits hosts under a burst of {load:d} capacities')
def step_many(context, hosts, load):
    context.story = _burst(hosts, load)
    context.again = lambda change: _burst(hosts, load, change=change)


def _answered(story):
    return [
        told
        for told in story.told
        if told['asked'] >= _SINCE
        and told.get('outcome')
        and told['outcome'].tag == 'answered'
    ]


@then('limits urgent attainment is at least {share:g}')
def step_urgent(context, share):
    found = context.story.attained(_SINCE, urgency='urgent')
    assert found >= share, found


@then('limits goodput is at least {share:g} of the capacity left')
def step_goodput(context, share):
    left = 4 * _CAPACITY * 3 / 4
    assert context.answered_by >= share * left, (context.answered_by, left)


@then('without limits admission urgent attainment is below {share:g}')
def step_without_admission(context, share):
    story = context.again(_open)
    found = story.attained(_SINCE, urgency='urgent')
    assert found < share, found


@given(
    'limits hosts that one team floods with 4 capacities of urgent requests',
)
def step_flood(context):
    context.story = _flood()


@then('limits attainment of the small teams is at least {share:g}')
def step_small(context, share):
    found = _small_share(context.story)
    assert found >= share, found


@then('with one limits share for all teams it is below {share:g}')
def step_one_share(context, share):
    def change(node):
        node.core.admission.queue = _OneShare()

    found = _small_share(_flood(change))
    assert found < share, found


@then('every limits refusal says when to come back')
def step_retry_after(context):
    refusals = context.story.refusals()
    assert refusals
    for told in refusals:
        assert told['outcome'].retry_after >= 1, told


@then('most limits refusals come within {seconds:g} seconds')
def step_at_once(context, seconds):
    refusals = context.story.refusals()
    quick = [one for one in refusals if one['at'] - one['asked'] <= seconds]
    assert len(quick) > 0.7 * len(refusals), (len(quick), len(refusals))


@then('no limits refusal comes after its deadline')
def step_in_time(context):
    for told in context.story.refusals():
        assert told['at'] <= told['deadline'], told


@then('no limits invariant is broken')
def step_invariants(context):
    for node in context.story.nodes:
        assert not node.core.ledger.broken, node.core.ledger.broken


def _steady(change=unchanged):
    story = Story(2, change)
    rates = {}
    for team in ('large', *_SMALL):
        rates[team, 'urgent'] = _CAPACITY * 0.3
    rates['small0', 'batch'] = _CAPACITY * 0.05
    story.load(14, rates)
    story.drain()
    return story


def _batch_done(story):
    done = [
        told
        for told in story.told
        if told['urgency'] == 'batch' and told['asked'] < 4
    ]
    answered = [
        told
        for told in done
        if told.get('outcome') and told['outcome'].tag == 'answered'
    ]
    assert done
    return len(answered) / len(done)


@given('limits hosts with steady urgent load above capacity and some batch')
def step_steady(context):
    context.story = _steady()


@then('limits batch attainment is at least {share:g}')
def step_batch(context, share):
    found = _batch_done(context.story)
    assert found >= share, found


@then('without limits reserves it is below {share:g}')
def step_no_reserves(context, share):
    def change(node):
        node.core.admission.queue.reserves = {}
        node.core.admission.queue.lead = float('inf')

    found = _batch_done(_steady(change))
    assert found < share, found


@given('limits hosts with room for {most:d} waiting, flooded')
def step_short_queue(context, most):
    story = Story(2, max_queue=most)
    rates = {('large', 'batch'): _CAPACITY * 4}
    for team in _SMALL:
        rates[team, 'batch'] = _CAPACITY * 0.03
    story.load(5, rates)
    story.drain(2)
    context.story = story


def _queued_per_slot(story):
    waiting = sum(len(one.slots.waiting) for one in story.upstreams.values())
    return waiting / (len(story.upstreams) * SLOTS)


@then("the limits workers' queues are below {most:g} call a slot at the end")
def step_queues(context, most):
    found = context.story.queued
    assert found < most, found


@then("with fixed limits of a worker's slots they are above {least:g}")
def step_fixed(context, least):
    def change(node):
        node.core.concurrency.rule = _unmoved
        node.core.admission.gate.total = _all_slots

    found = context.again(change).queued
    assert found > least, found


def _unmoved(value, found, in_flight, slots):
    return value


def _all_slots(pool):
    return sum(upstream.slots for upstream in pool.upstreams.values())
