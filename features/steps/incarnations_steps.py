"""Steps of incarnations of upstreams, and of entries of other writers."""

import pathlib
import sys

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings, strategies
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from features.builders.forward import SERVICE
from features.builders.registry import (
    ENTRY,
    FOREIGN,
    SOUND,
    entry,
    events_with,
    page_with,
)
from features.builders.stagework import LIMITS, Queue, group
from pollenstile.forward import Registry, Upstream
from pollenstile.forward._learning import learn_failure, learn_load
from pollenstile.platform import Changes, Listing, Reply
from pollenstile.stagework import Worker

_FOLDER = pathlib.Path(__file__).resolve().parent.parent.parent / 'platform'
if str(_FOLDER) not in sys.path:
    sys.path.append(str(_FOLDER))

from adapter.documents import decode_upstream  # noqa: E402
from adapter.objects import ObjectStore  # noqa: E402

_KIND = 'upstreams'
_EXAMPLES = 300
_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(), inner, max_size=4)
    ),
    max_leaves=8,
)


class _Caller:
    """Answers each call of the store with the same body."""

    peer = '10.9.0.7:8624'

    def __init__(self, body):
        self.body = body

    async def call(self, method, path, body=None, timeout=None, fresh=False):
        """Return the answer."""
        return Reply(200, self.body)


def _store(body, lines):
    def log(event, level='info', **fields):
        lines.append((event.name, fields))

    return ObjectStore(_Caller(body), log)


def _listed(body, lines):
    found = []
    work = Deferred.fromCoroutine(_store(body, lines).listed(_KIND))
    work.addBoth(found.append)
    assert isinstance(found[0], Listing), found
    return {one.name: one.value for one in found[0].objects}


def _watched(body, lines):
    found = []
    work = Deferred.fromCoroutine(_store(body, lines).watched(_KIND, 5))
    work.addBoth(found.append)
    assert isinstance(found[0], Changes), found
    return {one.name: one.value for one in found[0].events}


def _upstreams(values):
    """Return the upstreams that objects of the store name, by identifier."""
    decoded = {name: decode_upstream(name, one) for name, one in values.items()}
    return {name: one for name, one in decoded.items() if one is not None}


def _upstream(name, born, *, leaving=False):
    return Upstream(name, SERVICE, '10.0.0.1:1', 'd', 6, leaving, born)


@given('a registry with an upstream "{name}" born at {born:d}')
def given_registry(context, name, born):
    context.registry = Registry(Clock())
    context.registry.apply(name, _upstream(name, born))
    context.view = context.registry.usable(SERVICE)[0]


@given('its requests fail until it counts as sick')
def given_sick(context):
    for _ in range(20):
        learn_failure(context.view)
    learn_load(context.view, '6,9,6', 0.0)


@given('a request under way at it')
def given_under_way(context):
    context.view.in_flight += 1


@when('the entry of "{name}" says that it was born at {born:d}')
def when_born(context, name, born):
    context.registry.apply(name, _upstream(name, born))


@when('the entry of "{name}" says that it was born at {born:d} and leaves')
def when_born_leaving(context, name, born):
    context.registry.apply(name, _upstream(name, born, leaving=True))


@when('the request under way ends')
def when_ends(context):
    context.view.in_flight -= 1


@when('the request under way finds another incarnation')
def when_misdirected(context):
    context.registry.drop(context.view.ident, context.view.born)


@when('another writer puts a list in the place of "{name}"')
def when_spoiled(context, name):
    context.registry.apply(name, decode_upstream(name, ['x']))


@then(
    '"{name}" is known with no failures, no load and no requests under way',
)
def then_fresh(context, name):
    view = context.registry.usable(SERVICE)[0]
    seen = (
        view.ident,
        view.failures,
        view.running,
        view.queued,
        view.in_flight,
    )
    assert seen == (name, 0, 0, 0, 0), seen


@then('the usable upstream "{name}" was born at {born:d}')
def then_born(context, name, born):
    view = context.registry.usable(SERVICE)[0]
    assert (view.ident, view.born) == (name, born), view


@then('no upstream is usable')
def then_none(context):
    assert not context.registry.usable(SERVICE)


@given('a stage queue whose worker was born at {born:d} and has no room left')
def given_full_worker(context, born):
    context.queue = Queue('a')
    context.queue.owner.configure(LIMITS, [_worker(born)])
    context.queue.submit(group('x', 8, 100))
    context.queue.answer(0)


@when('that worker is born again at {born:d}')
def when_worker_born(context, born):
    context.queue.owner.configure(LIMITS, [_worker(born)])


def _worker(born):
    return Worker('w0', '10.0.0.0:1', 'a', born)


@given('a page of the registry with two upstreams and one with {fault}')
def given_page(context, fault):
    context.lines = []
    context.values = _listed(page_with([FOREIGN[fault]]), context.lines)


@given(
    'a watch of the registry that hears of two upstreams and one with {fault}',
)
def given_events(context, fault):
    context.lines = []
    context.values = _watched(events_with([FOREIGN[fault]]), context.lines)


@then('its two upstreams are known, and one line says what was left out')
def then_two_known(context):
    assert sorted(_upstreams(context.values)) == list(SOUND), context.values
    # What can't be read at all is logged where it is read, the rest by the
    # host that finds no upstream in it.
    foreign = [one for one in context.values if one not in SOUND]
    assert len(context.lines) + len(foreign) == 1, (context.lines, foreign)


@then('whatever stands beside two sound entries, these two are known')
def then_neighbours(context):
    @settings(max_examples=_EXAMPLES, deadline=None, derandomize=True)
    @for_all(_VALUES)
    def holds(row):
        found = _upstreams(_listed(page_with([row]), []))
        assert sorted(found) == list(SOUND), found

    holds()


@then('whatever is put for a field, the entry names a whole upstream or none')
def then_whole_or_none(context):
    @settings(max_examples=_EXAMPLES, deadline=None, derandomize=True)
    @for_all(strategies.sampled_from(sorted(ENTRY)), _VALUES)
    def holds(field, one):
        found = decode_upstream('i', entry(**{field: one}))
        if found is None:
            return
        assert isinstance(found.service, str)
        assert found.slots >= 1
        assert found.address.partition(':')[2].isdigit()

    holds()
