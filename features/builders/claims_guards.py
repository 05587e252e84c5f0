"""Claims with one guard taken away, to show that a story needs it."""

from contextlib import ExitStack, contextmanager
from unittest import mock

from pollenstile.claims import Claims, Held, ShardLog
from pollenstile.claims import _log, _reader, _truncate
from pollenstile.outcomes import Answered
from pollenstile.platform import InDoubt, Written


def _always(*_arguments):
    return True


async def _won_in_doubt(self, sequence, segment, batch):
    name = _log.object_name(self.shard, sequence)
    outcome = await self.store.put('claims', name, segment, if_version=0)
    if isinstance(outcome, (Written, InDoubt)):
        self.reader.record_append(sequence, segment, self.clock.seconds())
        return None
    return await self.reader.read_to_end()


async def _next_in_doubt(self, sequence, segment, batch):
    name = _log.object_name(self.shard, sequence)
    outcome = await self.store.put('claims', name, segment, if_version=0)
    if isinstance(outcome, Written):
        self.reader.record_append(sequence, segment, self.clock.seconds())
        return None
    if isinstance(outcome, InDoubt):
        self.reader.state.cursor = sequence
        return None
    return await self.reader.read_to_end()


async def _unread(self):
    self.state.cursor += 1
    self.end_known_at = self.clock.seconds()


async def _unclaimed(self, request, record):
    return Held(record)


async def _ran_and_released(self, record, run):
    outcome = await run()
    if isinstance(outcome, Answered):
        self.outcome_cache.add(record, outcome)
    else:
        self._release(record)
    return outcome


async def _appended_as_own(self, record, patience):
    return await self._append_claim(record, patience, own=True)


def _all_folded(oldest, cursor, now):
    return [row[0] for row in oldest], now


def _unexpired_folded(oldest, cursor, now):
    return [row[0] for row in oldest if row[0] < cursor], now


def _blind(function):
    async def put(self, kind, name, value, if_version=None):
        return await function(self, kind, name, value)

    return put


def _patches(guard):
    from features.builders.claims import Way  # noqa: WPS433

    patch = mock.patch.object
    return {
        'the read-back of an append in doubt': [
            patch(ShardLog, '_put_until_settled', _won_in_doubt),
        ],
        'settling a number before the next': [
            patch(ShardLog, '_put_until_settled', _next_in_doubt),
        ],
        'the read of the log before an append': [
            patch(_reader.ShardReader, 'read_to_end', _unread),
        ],
        'create-if-absent': [patch(Way, 'put', _blind(Way.put))],
        'the bound on a known end': [
            patch(_log, 'is_end_current', _always),
            patch(_reader, 'is_end_current', _always),
        ],
        'the claim before the dispatch': [
            patch(Claims, '_acquire_claim', _unclaimed),
        ],
        'keeping the key of an unknown outcome': [
            patch(Claims, '_run_claimed', _ran_and_released),
        ],
        'leaving the claims of others alone': [
            patch(Claims, 'forwarded', _appended_as_own),
        ],
        'keeping the newest segment': [
            patch(_truncate, 'select_expired', _all_folded)
        ],
        'keeping segments for the window': [
            patch(_truncate, 'select_expired', _unexpired_folded),
        ],
    }[guard]


@contextmanager
def without(guard):
    """Run a block without a guard, which is named in words."""
    with ExitStack() as stack:
        for patch in _patches(guard):
            stack.enter_context(patch)
        yield
