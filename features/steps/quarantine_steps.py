"""Steps for the quarantine of requests that crash upstreams."""

from random import Random

from behave import given, then, when
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from features.builders.quarantine import apply_verdicts, verdict
from pollenstile.bench._crashworld import DEADLY, CrashWorld
from pollenstile.bench.crashes import FAULTS
from pollenstile.ops._quarantinecmd import held_requests, lift_quarantine
from pollenstile.platform import Change
from pollenstile.quarantine import (
    HELD_REASON,
    QUARANTINE_KIND,
    Quarantine,
    QuarantineUpdate,
    Report,
    Suspect,
    VerdictRecorder,
    fingerprint,
    unix_ms,
)
from pollenstile.standin.objectapi import MemoryStore

_HARMLESS = b'sound'
# Seconds between the retries of a harmless request, longer than one attempt.
_RETRY_SECONDS = 2.0
_WORLD = (
    '{hosts:d} hosts and {upstreams:d} upstreams in {domains:d} failure'
    ' domains, for {route} requests'
)


def _fleet(context):
    return context.world.fleet


def _quarantining_hosts(context):
    """Return the hosts with a quarantined request."""
    return [
        host.name
        for host in _fleet(context).running()
        if host.core.quarantine.verdicts.all_held()
    ]


def _held_fingerprint(context):
    """Return the fingerprint of a quarantined request."""
    host = _fleet(context).running()[0]
    return host.core.quarantine.verdicts.all_held()[0].fingerprint


def _entries(context):
    listed = []
    store = _fleet(context).store
    work = Deferred.fromCoroutine(store.listed(QUARANTINE_KIND))
    work.addCallback(listed.append)
    context.world.advance(0.1)
    return listed[0].objects


def _send_crashing(context, bodies, pause, seconds, names):
    context.world.schedule_requests(bodies, pause, seconds, names)
    context.world.advance(seconds + 1)


@given(_WORLD)
def given_fleet(context, hosts, upstreams, domains, route):
    context.world = CrashWorld(hosts, upstreams, domains, route)


@given(
    '{hosts:d} hosts and {upstreams:d} upstreams of {slots:d} slots in'
    ' {domains:d} failure domains'
)
def given_slots(context, hosts, upstreams, slots, domains):
    context.world = CrashWorld(hosts, upstreams, domains, slots=slots)


@when(
    'a sound request arrives {count:d} times within {seconds:g} seconds, at all'
    ' hosts in turn'
)
def when_sound_arrives(context, count, seconds):
    names = [host.name for host in _fleet(context).running()]
    context.world.schedule_requests(
        [_HARMLESS], seconds / count, seconds, names
    )
    context.world.advance(12.0)


@then('each caller is served, and no upstream was idle')
def then_served(context):
    world = context.world
    served, _ = world.count_answers()
    assert served == len(world.sent), (served, len(world.sent))
    used = {arrival.upstream for arrival in world.upstreams.arrivals}
    assert len(used) == len(world.upstreams.running()), used


@given(
    'harmless requests arrive 8 times a second, each 4 times whatever the result'
)
def given_harmless(context):
    rng = Random(1)
    names = list(_fleet(context).hosts)
    for number in range(80):
        for attempt in range(4):
            moment = number / 8 + attempt * _RETRY_SECONDS
            body = _HARMLESS + b'%d' % number
            context.world.schedule_request(moment, rng.choice(names), body)


@given('"{text}" arrives 40 times a second for {seconds:d} seconds')
def given_same(context, text, seconds):
    rng = Random(1)
    names = list(_fleet(context).hosts)
    for number in range(40 * seconds):
        context.world.schedule_request(
            number / 40, rng.choice(names), text.encode()
        )


@given('the fault "{fault}"')
def given_fault(context, fault):
    FAULTS[fault](_fleet(context))


@given('one failure domain is partitioned from the others')
def given_partition(context):
    fleet = _fleet(context)
    fleet.cut_off(next(iter(fleet.hosts.values())).domain)


@when(
    'a crashing request arrives every {pause:g} seconds for {seconds:g} seconds,'
    ' at all hosts in turn'
)
def when_arrives(context, pause, seconds):
    names = [host.name for host in _fleet(context).running()]
    _send_crashing(context, [DEADLY], pause, seconds, names)


@given(
    'other requests arrive {rate:g} times a second for {seconds:g} seconds, by'
    ' seed {seed:d}'
)
def given_other_traffic(context, rate, seconds, seed):
    rng = Random(seed)
    names = [host.name for host in _fleet(context).running()]
    moment = rng.expovariate(rate)
    while moment < seconds:
        body = b'other %d' % int(moment * 1e6)
        context.world.schedule_request(moment, rng.choice(names), body)
        moment += rng.expovariate(rate)
    context.world.advance(seconds - 2.0)


@when(
    'a crashing request arrives {count:d} times within {seconds:g} seconds, at all'
    ' hosts in turn'
)
def when_arrives_at_once(context, count, seconds):
    names = [host.name for host in _fleet(context).running()]
    context.world.schedule_requests([DEADLY], seconds / count, seconds, names)
    context.world.advance(5.0)


@when(
    'a crashing request arrives every {pause:g} seconds for {seconds:g} seconds,'
    ' at the other hosts'
)
def when_arrives_elsewhere(context, pause, seconds):
    fleet = _fleet(context)
    names = [
        host.name for host in fleet.running() if host.domain not in fleet.cut
    ]
    _send_crashing(context, [DEADLY], pause, seconds, names)


@when(
    '{count:d} crashing requests arrive every {pause:g} seconds for {seconds:g}'
    ' seconds, at all hosts in turn'
)
def when_several_arrive(context, count, pause, seconds):
    context.bodies = [DEADLY + b'%d' % number for number in range(count)]
    names = list(_fleet(context).hosts)
    _send_crashing(context, context.bodies, pause, seconds, names)
    context.world.advance(5.0)


@when('upstreams crash once a second for {seconds:d} seconds, by seed {seed:d}')
def when_crash(context, seconds, seed):
    rng = Random(seed)
    upstreams = context.world.upstreams
    for _ in range(seconds):
        context.world.advance(rng.uniform(0.5, 1.5))
        upstreams.crash(rng.choice(upstreams.running()))
    context.world.advance(5.0)


@when('{count:d} upstreams crash at the same time, after {seconds:g} seconds')
def when_crash_together(context, count, seconds):
    context.world.advance(seconds)
    for process in context.world.upstreams.running()[:count]:
        context.world.upstreams.crash(process)
    context.world.advance(seconds + 1)


@when('the partition heals')
def when_healed(context):
    _fleet(context).heal()


@when('all hosts are killed and restart')
def when_all_restart(context):
    domains = context.world.kill_all()
    _fleet(context).advance(1.0)
    context.world.start_all(domains)


@when('an operator deletes its entry')
def when_deleted(context):
    store = _fleet(context).store
    Deferred.fromCoroutine(
        store.delete(QUARANTINE_KIND, _held_fingerprint(context))
    )


def _listed_requests(context):
    return held_requests(_entries(context), unix_ms())


@then('the command lists one request of a team, with its service and crashes')
def then_listed(context):
    listed = _listed_requests(context)
    assert [request.fingerprint for request in listed] == [
        _held_fingerprint(context)
    ]
    assert (listed[0].team, listed[0].service) == ('team', 's')
    assert listed[0].crashes >= 3


@when('an operator releases it by the command')
def when_lifted(context):
    store = _fleet(context).store
    Deferred.fromCoroutine(lift_quarantine(store, _held_fingerprint(context)))


@then('the command lists no request')
def then_none_listed(context):
    assert not _listed_requests(context)


@when('one host sees it run to completion')
def when_completed(context):
    host = _fleet(context).running()[-1]
    host.core.quarantine.note_completed(_held_fingerprint(context))


@when('a host wrongly reports 3 upstreams as crashed while running a request')
def when_wrongly_reported(context):
    world = context.world
    quarantine = _fleet(context).running()[0].core.quarantine
    suspect = Suspect(fingerprint(quarantine.key, b'a'), 'team', 0.001)
    for process in world.upstreams.running()[:3]:
        quarantine.note_crash(f'{process.ident}/0', 's', (suspect,))
    world.advance(1.0)
    assert len(_quarantining_hosts(context)) == len(_fleet(context).hosts)


@when(
    'two hosts report a request, and {gap:g} seconds later two others see it run'
    ' to completion'
)
def when_reported_and_cleared(context, gap):
    hosts = _fleet(context).running()
    name = fingerprint(hosts[0].core.quarantine.key, b'a')
    suspects = (Suspect(name, 'team', 0.5),)
    crashed = f'{context.world.upstreams.running()[0].ident}/0'
    for host in (hosts[0], hosts[4]):
        host.core.quarantine.note_crash(crashed, 's', suspects)
    context.world.advance(gap)
    hosts[-1].core.quarantine.note_completed(name)
    context.world.advance(0.01)
    hosts[2].core.quarantine.note_completed(name)


@then('each host has cleared it at most once within {seconds:g} seconds')
def then_cleared_once(context, seconds):
    context.world.advance(seconds)
    hosts = [
        host
        for _, host, event, _ in _fleet(context).logged
        if event == 'suspect-cleared'
    ]
    assert hosts and len(hosts) == len(set(hosts)), len(hosts)


@when('a request is answered by one of them')
def when_answered(context):
    for name in _fleet(context).hosts:
        context.world.send_request(name, _HARMLESS)
    context.world.advance(1.0)


@when('{seconds:g} seconds pass for all hosts')
def when_time_passes(context, seconds):
    _fleet(context).advance_coarsely(seconds)


@then(
    'from {seconds:g} seconds after its third crash on it reached upstreams at'
    ' most {most:d} more times'
)
def then_few_arrivals(context, seconds, most):
    late = context.world.arrivals_after_third_crash(DEADLY, seconds)
    assert len(late) <= most, late


@then('at most {most:d} upstreams have crashed')
def then_few_crashes(context, most):
    crashes = context.world.upstreams.crashes
    assert len(crashes) <= most, crashes


@then('each of them has crashed at most {most:d} upstreams')
def then_few_crashes_each(context, most):
    for body in context.bodies:
        crashes = context.world.crash_times(body)
        assert len(crashes) <= most, (body, crashes)
    for host in _fleet(context).running():
        held = host.core.quarantine.verdicts.all_held()
        assert len(held) == len(context.bodies), (host.name, held)


@then('no harmless request was refused for crashing upstreams')
def then_no_harmless_refused(context):
    refused = [
        sent
        for sent in context.world.sent
        if sent.answer.refusal is not None
        and sent.answer.refusal.reason == HELD_REASON
        and not sent.body.startswith(DEADLY)
    ]
    assert not refused, refused


@then(
    'each running host keeps it from upstreams {seconds:g} seconds after its'
    ' third crash'
)
def then_all_hold(context, seconds):
    late = context.world.arrivals_after_third_crash(DEADLY, seconds)
    assert not late, late
    running = [host.name for host in _fleet(context).running()]
    assert running and _quarantining_hosts(context) == running, (
        _quarantining_hosts(context)
    )


@then('each running host keeps it from upstreams within {seconds:g} seconds')
def then_all_hold_soon(context, seconds):
    context.world.advance(seconds)
    running = [host.name for host in _fleet(context).running()]
    assert running and _quarantining_hosts(context) == running, (
        _quarantining_hosts(context)
    )


@then('no host keeps it from upstreams after {seconds:g} seconds')
def then_none_holds(context, seconds):
    context.world.advance(seconds)
    assert not _quarantining_hosts(context), _quarantining_hosts(context)


@then('its entry does not reappear')
def then_no_entry(context):
    context.world.advance(2.0)
    assert not _entries(context), _entries(context)


@given('a forwarded "{kind}" request whose fingerprint is in quarantine')
def given_quarantined(context, kind):
    context.execute_steps(f'Given a forwarded "{kind}" request with stage work')
    _quarantine_request(context)


def _quarantine_request(context):
    apply_verdicts(context.story.core.quarantine, verdict('f1'))


@when('the forwarded request arrives')
def when_started(context):
    context.story.start()


@when('its fingerprint is quarantined, and the stage work ends')
def when_quarantined_while_waiting(context):
    _quarantine_request(context)
    context.story.stages.finish()


@then('it is not told when to retry')
def then_no_retry_time(context):
    assert not context.story.answer.refusal.retry_after


@then('its entry exists')
def then_entry_exists(context):
    assert [entry.name for entry in _entries(context)] == [
        _held_fingerprint(context)
    ]


@given('a host that has applied a release and reads the store')
def given_released(context):
    clock = Clock()
    context.store = MemoryStore(clock)
    context.quarantine = Quarantine(clock, 'h', lambda service: 9)
    context.quarantine.now_ms = lambda: 2000
    context.record = VerdictRecorder(context.store, context.quarantine, {})
    apply_verdicts(
        context.quarantine, verdict('f1', changed=1000, is_held=False)
    )


@when('the store reports a newer entry for the same request')
def when_newer(context):
    entry = {'team': 'team', 'service': 's', 'crashes': 3, 'since_ms': 1500}
    put = context.store.put(QUARANTINE_KIND, 'f1', entry)
    Deferred.fromCoroutine(put)
    context.record.take(Change(QUARANTINE_KIND, 'f1', 1, entry, 1))


@then('the host keeps it from upstreams')
def then_keeps(context):
    assert context.quarantine.is_held('f1')


@then('it has not deleted the entry')
def then_not_deleted(context):
    assert 'f1' in context.record.stored


@given("a host's quarantine")
def given_quarantine(context):
    context.quarantine = Quarantine(Clock(), 'h', lambda service: 9)


@when(
    '{crashes:d} crashes with {count:d} suspects each are reported to the host'
)
def when_reported(context, crashes, count):
    for number in range(crashes):
        suspects = tuple(
            Suspect(f'{number:x}/{index:x}') for index in range(count)
        )
        report = Report(f'i{number}', 's', 'h', suspects)
        context.quarantine.apply(QuarantineUpdate(reports=(report,)))


@then('it remembers at most {crashes:d} crashes, of {count:d} suspects each')
def then_bounded(context, crashes, count):
    evidence = context.quarantine.evidence
    assert 0 < len(evidence.crashes) <= crashes
    sizes = [len(crash.suspects) for crash in evidence.crashes.values()]
    assert 0 < max(sizes) <= count
    assert len(evidence.incarnations) <= crashes * count


@then('it remembers at most {most:d} verdicts of {count:d}')
def then_verdicts_bounded(context, most, count):
    for number in range(count):
        apply_verdicts(
            context.quarantine, verdict(f'v{number}', expires_at=9.0)
        )
    assert 0 < len(context.quarantine.verdicts.by_fingerprint) <= most
