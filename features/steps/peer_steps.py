"""Steps for the protocol between entry hosts."""

from random import Random

from behave import given, then, when
from twisted.internet import reactor
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.protocol import ClientFactory, Factory, Protocol

from features.builders.loop import run_reactor_until
from features.builders.peers import (
    NEXT_SCHEMA,
    PeerWorld,
    hello_of,
    opened_sessions,
)
from pollenstile.ops.logs import silent_log
from pollenstile.peer import (
    Beat,
    Hub,
    ProtocolError,
    Session,
    Unanswered,
    decode_message,
    encode_frame,
    encode_message,
    parse_keys,
    tcp_connect,
    tcp_listen,
)

_OVERSIZE = b'\xff\xff\xff\xff'
_SUBJECTS = {
    'echo': lambda host, body: body,
    'never': lambda host, body: Deferred(),
    'broken': lambda host, body: body.missing,
}


# Seconds for which a question over the loopback waits.
_ASK_SECONDS = 0.3


class _SilentFactory(Factory):
    """Accepts connections and sends nothing."""

    noisy = False
    protocol = Protocol


def _names(text):
    return text.split(', ')


@given('peer hosts "{names}"')
def step_hosts(context, names):
    context.peers = PeerWorld()
    for name in _names(names):
        hub = context.peers.hub(name)
        hub.requests.subjects.update(_SUBJECTS)


@given('a peer host "{name}" that speaks versions {least:d} to {most:d}')
def step_versions(context, name, least, most):
    if 'peers' not in context:
        context.peers = PeerWorld()
    context.peers.hub(name, version=most, least=least)


@given('peer "{name}" keeps links to "{others}"')
def step_keeps(context, name, others):
    context.peers.keep_links(name, *_names(others))
    context.peers.run(3)
    links = context.peers.hubs[name].links
    assert sorted(links) == _names(others), links
    context.first_links = dict(links)


@when('peer "{one}" dials "{other}" for {seconds:d} seconds')
def step_dials(context, one, other, seconds):
    context.peers.keep_links(one, other)
    context.peers.run(seconds)


@when('peers "{one}" and "{other}" dial each other at the same instant')
def step_cross_dial(context, one, other):
    near, far = context.peers.hubs[one], context.peers.hubs[other]
    near.dialer.dial(far.hello.address)
    far.dialer.dial(near.hello.address)
    context.peers.run(0.2)


@then('peers "{one}" and "{other}" have one link to each other')
def step_one_link(context, one, other):
    near, far = context.peers.hubs[one], context.peers.hubs[other]
    assert list(near.links) == [other] and list(far.links) == [one]
    assert not near.handshaking and not far.handshaking
    dialing = near.links[other].session.dialing
    assert far.links[one].session.dialing != dialing


@then('peers "{one}" and "{other}" have no link')
def step_no_link(context, one, other):
    assert not context.peers.hubs[one].links
    assert not context.peers.hubs[other].links


@then('after {seconds:d} peer seconds peers "{one}" and "{other}" have no link')
def step_later_no_link(context, seconds, one, other):
    context.peers.run(seconds)
    step_no_link(context, one, other)


def _ask(context, one, other, subject, body=b'', address=''):
    found = []
    waiting = context.peers.hubs[one].ask(other, subject, body, 2.0, address)
    waiting.addCallback(found.append)
    context.peers.run(0.1)
    return found


@then(
    'peer "{one}" asked "{other}" for "{subject}" of "{body}" gets "{answer}"'
)
def step_asked(context, one, other, subject, body, answer):
    found = _ask(context, one, other, subject, body.encode())
    assert found == [answer.encode()], found


@then(
    'peer "{one}" asked the unlinked "{other}" for "{subject}" of "{body}" '
    'gets "{answer}"',
)
def step_asked_unlinked(context, one, other, subject, body, answer):
    step_no_link(context, one, other)
    address = context.peers.hubs[other].hello.address
    found = _ask(context, one, other, subject, body.encode(), address)
    assert found == [answer.encode()], found


@then('peer "{one}" asked "{other}" for "{subject}" gets the reason "{reason}"')
def step_reason(context, one, other, subject, reason):
    found = _ask(context, one, other, subject)
    if reason == 'timeout':
        assert not found
    context.peers.run(3)
    assert found == [Unanswered('ask', other, reason)], found


@then(
    'peer "{one}" asked "{other}" for "{subject}" while "{dead}" dies '
    'gets the reason "{reason}"',
)
def step_reason_dying(context, one, other, subject, dead, reason):
    found = _ask(context, one, other, subject)
    context.peers.hubs[dead].stop()
    context.peers.run(0.1)
    assert found == [Unanswered('ask', other, reason)], found


class _Stranger(Protocol):
    def __init__(self, opening):
        self.opening = opening
        self.received = b''
        self.closed = False

    def connectionMade(self):
        self.transport.write(self.opening)

    def dataReceived(self, content):
        self.received += content

    def connectionLost(self, reason):
        self.closed = True


def _stranger(port, opening):
    stranger = _Stranger(opening)
    factory = ClientFactory()
    factory.noisy = False
    factory.buildProtocol = lambda address: stranger
    reactor.connectTCP('127.0.0.1', port.getHost().port, factory)
    return stranger


@given('a peer port on the loopback')
def step_port(context):
    hub = Hub(
        reactor,
        Random(1),
        hello_of('a'),
        parse_keys('shared'),
        tcp_connect(reactor),
        silent_log,
    )
    context.hub = hub
    context.port = tcp_listen(reactor, ('127.0.0.1', 0), hub)
    context.add_cleanup(context.port.stopListening)
    context.strangers = []


def _ask_address(context, address):
    """Ask a host at an address, and wait for the outcome."""
    answers = []
    asking = context.hub.ask('b', 'echo', b'', _ASK_SECONDS, address)
    asking.addCallback(answers.append)
    run_reactor_until(lambda: answers)
    context.outcome = answers[0]


@when('the port is closed, and its hub asks a host at that address')
def step_ask_closed(context):
    address = f'127.0.0.1:{context.port.getHost().port}'
    closed = []
    stopping = maybeDeferred(context.port.stopListening)
    stopping.addBoth(closed.append)
    run_reactor_until(lambda: closed)
    _ask_address(context, address)


@when('the hub asks a host at an address that answers nothing')
def step_ask_silent(context):
    silent = reactor.listenTCP(0, _SilentFactory(), interface='127.0.0.1')
    context.add_cleanup(silent.stopListening)
    _ask_address(context, f'127.0.0.1:{silent.getHost().port}')


@then('the question is unanswered as "{reason}"')
def step_unanswered_as(context, reason):
    assert context.outcome == Unanswered('ask', 'b', reason), context.outcome


@when('a stranger sends {count:d} random openings to the peer port')
def step_random_openings(context, count):
    random = Random(7)
    for _ in range(count):
        body = random.randbytes(random.randrange(1, 300))
        opening = encode_frame(body) if random.randrange(2) else body
        opening = b''.join((opening, _OVERSIZE))
        context.strangers.append(_stranger(context.port, opening))


@when('a stranger with another peer key dials the peer port')
def step_other_key(context):
    session = Session(parse_keys('other'), hello_of('b', 2), dialing=True)
    opening = session.first_bytes()
    context.strangers.append(_stranger(context.port, opening))


@then('no stranger received a byte from the peer port')
def step_nothing(context):
    # In the daemon the periodic check of the hub closes connections with an
    # incomplete frame. Here the stranger closes them.
    def settled():
        return all(stranger.closed for stranger in context.strangers)

    for _ in range(20):
        reactor.iterate(0.01)
    for stranger in context.strangers:
        if not stranger.closed:
            stranger.transport.loseConnection()
    run_reactor_until(settled)
    assert not any(stranger.received for stranger in context.strangers)


@then("every stranger's peer connection was closed")
def step_strangers_closed(context):
    assert all(stranger.closed for stranger in context.strangers)


@given('a recorded peer handshake')
def step_recorded(context):
    dialer = Session(parse_keys('shared'), hello_of('a', 1), dialing=True)
    listener = Session(parse_keys('shared'), hello_of('b', 2), dialing=False)
    opening = dialer.first_bytes()
    accepted, _ = listener.receive(opening)
    proof, _ = dialer.receive(accepted)
    listener.receive(proof)
    context.recorded = (opening, proof, dialer.seal(Beat(version=9)))


@when('the recorded peer handshake is replayed to the listener')
def step_played(context):
    listener = Session(parse_keys('shared'), hello_of('b', 3), dialing=False)
    context.error = None
    try:
        for part in context.recorded:
            listener.receive(part)
    except ProtocolError as error:
        context.error = str(error)


@then('the peer listener refuses it as "{reason}"')
def step_refuses(context, reason):
    assert context.error == reason, context.error


@given('two open peer sessions')
def step_sessions(context):
    sessions = opened_sessions()
    context.dialer = sessions[0]
    context.listener = sessions[1]
    frame = context.dialer.seal(Beat(version=1))
    _, messages = context.listener.receive(frame)
    assert messages == [Beat(version=1)], messages
    context.frame = frame


def _receive_frame(context, session, frame):
    context.error = None
    try:
        session.receive(frame)
    except ProtocolError as error:
        context.error = str(error)


@when('a peer frame is {change}')
def step_tampered(context, change):
    frame = context.frame
    session = context.listener
    if change == 'altered':
        fresh = context.dialer.seal(Beat(version=2))
        frame = fresh[:-20] + bytes([fresh[-20] ^ 1]) + fresh[-19:]
    if change == 'left out':
        context.dialer.seal(Beat(version=2))
        frame = context.dialer.seal(Beat(version=3))
    if change == 'returned':
        session = context.dialer
    _receive_frame(context, session, frame)


@when('a peer states a frame of {size:d} bytes {time} the handshake')
def step_oversize(context, size, time):
    session = context.listener
    if time == 'before':
        session = Session(parse_keys('k'), hello_of('c', 3), dialing=False)
    _receive_frame(context, session, size.to_bytes(4))


@then('the peer session ends with "{reason}"')
def step_session_ends(context, reason):
    assert context.error == reason, context.error


def _garbled(random):
    content = bytearray(encode_message(Beat(version=5)))
    kind = random.randrange(3)
    if kind == 0:
        return random.randbytes(random.randrange(200))
    if kind == 1:
        return bytes(content[: random.randrange(len(content))])
    for _ in range(4):
        content[random.randrange(len(content))] = random.randrange(256)
    return bytes(content)


def _sealed_raw(session, body):
    from pollenstile.peer import _session  # noqa: WPS433

    original = _session.encode_message
    _session.encode_message = lambda message: body
    try:
        return session.seal(None)
    finally:
        _session.encode_message = original


@when('peer "{one}" sends {count:d} garbled messages to "{other}"')
def step_garbled(context, one, count, other):
    random = Random(3)
    sender = context.peers.hubs[one]
    for _ in range(count):
        link = sender.links.get(other)
        if link is not None:
            link.write(_sealed_raw(link.session, _garbled(random)))
        context.peers.run(0.05)


@then('peer "{one}" still has its first link to "{other}"')
def step_first_link(context, one, other):
    link = context.peers.hubs[one].links[other]
    assert link is context.first_links[other]


@then('peer "{one}" refused some of the garbled messages')
def step_refused_some(context, one):
    assert context.peers.count('peer-refused', one) > 5


@when('the peer path is silent for {seconds:d} seconds')
def step_path_silent(context, seconds):
    context.peers.cut = True
    context.peers.run(seconds)
    context.peers.cut = False


@when('the process of the peers is stopped for {seconds:d} seconds')
def step_stopped(context, seconds):
    context.peers.clock.advance(seconds)


@when('the peers run for {seconds:d} seconds')
def step_run(context, seconds):
    context.peers.run(seconds)


@then('the peers logged "{name}" twice')
def step_logged_twice(context, name):
    assert context.peers.count(name) == 2, context.peers.events


@then('within {seconds:d} seconds peer "{one}" has a new link to "{other}"')
def step_new_link(context, seconds, one, other):
    context.peers.run(seconds)
    link = context.peers.hubs[one].links[other]
    assert link is not context.first_links[other]


@given('{count:d} peer hosts that keep a link to a stopped peer host')
def step_gone(context, count):
    context.peers = PeerWorld()
    context.dialed = []
    for number in range(count):
        hub = context.peers.hub(f'h{number}')
        hub.dialer.wanted['gone'] = '10.9.9.9:82'
        hub.dialer.connect = _count_dials(context, hub.dialer.connect, number)


def _count_dials(context, connect, number):
    def counted(address, receiver):
        context.dialed.append((context.peers.clock.seconds(), number))
        connect(address, receiver)

    return counted


@when('{seconds:d} peer seconds pass')
def step_peer_seconds(context, seconds):
    context.peers.run(seconds)


@then('no tenth of a peer second saw more than {most:d} of the 30 dial')
def step_spread_dials(context, most):
    tenths = {}
    for at, _ in context.dialed:
        if at > 1:
            tenths[int(at * 10)] = tenths.get(int(at * 10), 0) + 1
    assert max(tenths.values()) <= most, max(tenths.values())


@then('each peer host dialed between {least:d} and {most:d} times')
def step_dial_counts(context, least, most):
    hosts = [number for _, number in context.dialed]
    counts = {hosts.count(number) for number in range(30)}
    assert least <= min(counts) and max(counts) <= most, counts


@when('a peer heartbeat of the next release is read by this one')
def step_next(context):
    beat = {
        'version': 4,
        'members': 5,
        'quarantine': 7,
        'pressure': 6,
        'note': 'new',
    }
    message = NEXT_SCHEMA.Message.new_message(beat=beat)
    context.beat = decode_message(message.to_bytes())


@then('its known peer fields are correct')
def step_known_fields(context):
    known = Beat(version=4, members=5, quarantine=7)
    assert context.beat == known, context.beat


@then('a peer message kind of the next release is ignored')
def step_unknown_kind(context):
    message = NEXT_SCHEMA.Message.new_message(probe={'sums': [1]})
    assert decode_message(message.to_bytes()) is None


@then('a peer heartbeat of this release is correct in the next one')
def step_older(context):
    encoded = encode_message(Beat(4, 5, leaving=True, quarantine=7))
    with NEXT_SCHEMA.Message.from_bytes(encoded) as reader:
        beat = reader.beat
        assert (beat.version, beat.members, beat.leaving) == (4, 5, True)
        assert beat.quarantine == 7
        assert (beat.pressure, beat.note) == (0, '')


@then('the peers refused "{reason}"')
def step_peers_refused(context, reason):
    reasons = {
        fields['reason']
        for _, name, fields in context.peers.events
        if name == 'peer-refused'
    }
    assert reason in reasons, reasons


def _can_link(dialer, listener):
    world = PeerWorld()
    world.hub('a', key=dialer)
    world.hub('b', key=listener)
    world.keep_links('a', 'b')
    world.run(2)
    return 'b' in world.hubs['a'].links and 'a' in world.hubs['b'].links


@then('peers with these keys open a link')
def step_keys_link(context):
    for row in context.table:
        assert _can_link(row['dialer'], row['listener']), row


@then('peers with these keys open no link')
def step_keys_no_link(context):
    for row in context.table:
        assert not _can_link(row['dialer'], row['listener']), row


@when('peer "{name}" restarts with a higher boot number')
def step_anew(context, name):
    old = context.peers.hubs[name]
    old.stopped = True
    hub = context.peers.hub(name, boot=2)
    hub.dialer.wanted = dict(old.dialer.wanted)
    context.peers.run(2)


@then('peer "{one}" has its link to the new process "{other}"')
def step_new_process(context, one, other):
    link = context.peers.hubs[one].links[other]
    assert link.session.peer.boot == 2
