"""Steps that check properties on generated input, with Hypothesis."""

from types import SimpleNamespace

from behave import then
from hypothesis import assume, given
from hypothesis import strategies as st

from features.builders.documents import (
    STEPS,
    VALUES,
    example,
    replace_at,
    yaml_text,
)
from features.builders.properties import (
    CUTS,
    FIXED,
    HEADERS,
    SECONDS,
    TOKENS,
    chunks_of,
    ends_of,
    read_reply,
    read_stream,
    split_bytes,
    stream_of,
)
from pollenstile.entry._caller import (
    authenticate_team,
    decode_input,
    parse_deadline,
    parse_idempotency_key,
)
from pollenstile.fleet import Snapshot
from pollenstile.manifest import (
    Manifest,
    ManifestError,
    Stage,
    Team,
    manifest_from_text,
    text_from_manifest,
)
from pollenstile.outcomes import Refused
from pollenstile.pipeline._assembly import Assembly
from pollenstile.pipeline._decisions import (
    attempt_timeout,
    may_retry,
    stage_budget,
)
from pollenstile.upstream import Lost, Reply
from pollenstile.upstream._sse import EventSplitter

_DIGEST = 'ab' * 32
_SNAPSHOT = Snapshot(
    1,
    Manifest('demo', {}, {}, {}, {'dispatch': Team(key_digests=[_DIGEST])}),
)


@then("for any bytes a caller's body is decoded or refused with 400")
def step_body(context):
    @FIXED
    @given(st.binary(max_size=400) | st.text().map(str.encode))
    def check(body):
        found = decode_input(body)
        assert not isinstance(found, Refused) or found.status == 400

    check()


@then('for any text an idempotency key is accepted as is or refused with 400')
def step_key(context):
    @FIXED
    @given(HEADERS | st.text('k', min_size=150, max_size=250))
    def check(header):
        found = parse_idempotency_key(header)
        if len(header) > 200 or not header.isprintable():
            assert found.status == 400
            return
        assert found == header

    check()


@then("for any text a stranger's authorization is refused with 401")
def step_stranger(context):
    @FIXED
    @given(HEADERS, st.sampled_from(['', 'Bearer ', 'Bearer  ', 'Basic ']))
    def check(header, scheme):
        found = authenticate_team(_SNAPSHOT, scheme + header)
        assert isinstance(found, Refused)
        assert found.status == 401

    check()


@then("for any number a caller's deadline is within the declared one")
def step_deadline(context):
    @FIXED
    @given(st.integers(min_value=0, max_value=10**12), st.integers(1, 10**6))
    def check(asked, declared):
        pipeline = SimpleNamespace(deadline_ms=declared)
        found = parse_deadline(str(asked), pipeline)
        if asked == 0:
            assert found.status == 400
            return
        assert 0 < found <= declared / 1000
        assert found <= asked / 1000

    check()


@then("for any text a caller's deadline is accepted or refused with 400")
def step_odd_deadline(context):
    digits = st.text(st.characters(categories=['Nd', 'No']), max_size=6)

    @FIXED
    @given(HEADERS | digits | st.just('9' * 5000))
    def check(header):
        found = parse_deadline(header, SimpleNamespace(deadline_ms=4000))
        refused = isinstance(found, Refused) and found.status == 400
        assert refused or 0 < found <= 4

    check()


@then('for any split a line of server-sent events that is too long is refused')
def step_long_line(context):
    @FIXED
    @given(st.integers(min_value=101, max_value=400), CUTS)
    def check(length, cuts):
        splitter = EventSplitter(100)
        line = b'data: %s\n' % (b'x' * length)
        try:
            for piece in split_bytes(line, cuts):
                splitter.events(piece)
        except ValueError:
            return
        raise AssertionError(cuts)

    check()


@then('for any split of any short lines the server-sent events are the same')
def step_split(context):
    line = st.binary(max_size=40).map(lambda text: text.replace(b'\n', b''))
    lines = st.lists(st.sampled_from([b'data: ', b'', b': ']) | line)

    @FIXED
    @given(lines, CUTS)
    def check(parts, cuts):
        data = b'\n'.join(parts)
        assume(all(len(part) < 100 for part in data.split(b'\n')))
        unsplit = EventSplitter(100).events(data)
        splitter = EventSplitter(100)
        found = []
        for piece in split_bytes(data, cuts):
            found.extend(splitter.events(piece))
        assert found == unsplit

    check()


@then(
    'for any split of a complete stream the tokens and the reply are the same'
)
def step_stream(context):
    @FIXED
    @given(TOKENS, CUTS)
    def check(tokens, cuts):
        events = read_stream(split_bytes(stream_of(tokens), cuts))
        assert [chunk.text for chunk in chunks_of(events)] == tokens
        offsets = [chunk.offset for chunk in chunks_of(events)]
        assert offsets == list(range(len(tokens)))
        end = events[-1]
        assert isinstance(end, Reply)
        assert (end.output, end.tokens) == (''.join(tokens), len(tokens))
        assert len(ends_of(events)) == 1

    check()


@then('for any proper prefix of a complete stream the reader reports lost')
def step_prefix(context):
    @FIXED
    @given(TOKENS, st.integers(min_value=0), CUTS, st.booleans())
    def check(tokens, length, cuts, complete):
        data = stream_of(tokens)
        kept = data[: length % len(data)]
        # The end of the last line and the blank line after it are optional.
        assume(b'[DONE]\n' not in kept)
        events = read_stream(split_bytes(kept, cuts), complete=complete)
        assert len(ends_of(events)) == 1
        assert isinstance(events[-1], Lost)

    check()


def _check_ends_once(feed, complete, parts):
    events = feed(parts, complete=complete)
    assert len(ends_of(events)) == 1, events
    assert ends_of(events) == events[-1:]


_RUBBISH = st.lists(
    st.binary(max_size=60)
    | st.sampled_from(
        [
            b'data: [DONE]\n',
            b'data: {}\n',
            b'data: {"id":"a","choices":[{"text":"x"}]}\n',
            b'data: {"id":"a","choices":[],"usage":{"completion_tokens":-1}}\n',
            b'{"attempt":"a","output":1}',
            b'[' * 50,
        ]
    ),
    max_size=8,
)


@then('for any bytes in any split a reader of streams ends once')
def step_rubbish_stream(context):
    @FIXED
    @given(_RUBBISH, st.booleans())
    def check(parts, complete):
        _check_ends_once(read_stream, complete, parts)

    check()


@then('for any bytes in any split a reader of replies ends once')
def step_rubbish_reply(context):
    @FIXED
    @given(_RUBBISH, st.booleans())
    def check(parts, complete):
        _check_ends_once(read_reply, complete, parts)

    check()


@then('for any attempts at a stream the joined tokens are a prefix of it')
def step_joined(context):
    @FIXED
    @given(
        TOKENS,
        st.lists(st.tuples(st.integers(0, 9), st.integers(0, 9)), max_size=9),
    )
    def check(tokens, attempts):
        assembly = Assembly()
        passed = []
        for start, end in attempts:
            for offset in range(start, min(end, len(tokens))):
                gap = assembly.has_gap(offset)
                taken = assembly.append_if_next(offset, tokens[offset])
                assert not (gap and taken)
                if taken:
                    passed.append(tokens[offset])
        assert passed == tokens[: len(passed)]
        assert assembly.length() == len(passed)
        assert assembly.text() == ''.join(passed)

    check()


@then("for any times a stage's budget and timeout fit the remaining time")
def step_budget(context):
    @FIXED
    @given(SECONDS, st.lists(SECONDS, max_size=6), SECONDS, st.integers(0, 5))
    def check(remaining, later, expected, attempts_left):
        budget = stage_budget(remaining, later)
        assert 0 <= budget <= remaining
        timeout = attempt_timeout(budget, expected, attempts_left)
        assert 0 <= timeout <= budget

    check()


@then('for any state a non-idempotent call that may have run is not retried')
def step_once(context):
    @FIXED
    @given(st.integers(1, 9), st.integers(0, 20), SECONDS, SECONDS)
    def check(attempts, failures, remaining, expected):
        stage = Stage('call', 'booking', idempotent=False, attempts=attempts)
        assert not may_retry(
            stage,
            failures,
            remaining,
            expected,
            may_have_run=True,
        )

    check()


@then('for any state a call is not tried more often than declared')
def step_attempts(context):
    @FIXED
    @given(st.integers(1, 9), st.integers(0, 20), SECONDS, SECONDS)
    def check(attempts, failures, remaining, expected):
        stage = Stage('rerank', 'rankers', attempts=attempts)
        allowed = may_retry(
            stage,
            failures,
            remaining,
            expected,
            may_have_run=True,
        )
        assert not (allowed and failures >= attempts)

    check()


def _check_manifest(text):
    try:
        found = manifest_from_text(text)
    except ManifestError as error:
        assert error.mistakes
        assert all(mistake.text for mistake in error.mistakes)
        return
    again = manifest_from_text(text_from_manifest(found))
    assert text_from_manifest(again) == text_from_manifest(found)


@then('any text is a manifest or has mistakes')
def step_any_text(context):
    @FIXED
    @given(st.text(max_size=200) | VALUES.map(yaml_text))
    def check(text):
        _check_manifest(text)

    check()


@then('an example with any value replaced is a manifest or has mistakes')
def step_replaced(context):
    document = example()

    @FIXED
    @given(STEPS, VALUES)
    def check(steps, content):
        _check_manifest(yaml_text(replace_at(document, steps, content)))

    check()
