"""Claims with one guard disabled, to show that a scenario depends on it."""

from contextlib import ExitStack, contextmanager
from unittest import mock

from pollenstile.claims import Claims, Held, ShardLog, _log, _reader, _truncate
from pollenstile.outcomes import Answered
from pollenstile.platform import InDoubt, Written


def _always(*_arguments):
    return True


async def _assume_applied(self, sequence, segment, batch):
    name = _log.object_name(self.shard, sequence)
    outcome = await self.store.put('claims', name, segment, if_version=0)
    if isinstance(outcome, (Written, InDoubt)):
        self.reader.record_append(sequence, segment, self.clock.seconds())
        return None
    return await self.reader.read_to_end()


async def _skip_number_in_doubt(self, sequence, segment, batch):
    name = _log.object_name(self.shard, sequence)
    outcome = await self.store.put('claims', name, segment, if_version=0)
    if isinstance(outcome, Written):
        self.reader.record_append(sequence, segment, self.clock.seconds())
        return None
    if isinstance(outcome, InDoubt):
        self.reader.state.cursor = sequence
        return None
    return await self.reader.read_to_end()


async def _skip_read(self):
    self.state.cursor += 1
    self.end_known_at = self.clock.seconds()


async def _skip_claim(self, request, record):
    return Held(record)


async def _run_and_release(self, record, run):
    outcome = await run()
    if isinstance(outcome, Answered):
        self.outcome_cache.add(record, outcome)
    else:
        self._release(record)
    return outcome


async def _append_as_own(self, record, patience):
    return await self._append_claim(record, patience, own=True)


def _delete_all(oldest_segments, cursor, now):
    return [row[0] for row in oldest_segments], now


def _delete_unexpired(oldest_segments, cursor, now):
    return [row[0] for row in oldest_segments if row[0] < cursor], now


def _unconditional(function):
    async def put(self, kind, name, value, if_version=None):
        return await function(self, kind, name, value)

    return put


def _patches(guard):
    from features.builders.claims import StoreLink  # noqa: WPS433

    patch = mock.patch.object
    return {
        'the read-back of an append in doubt': [
            patch(ShardLog, '_put_until_settled', _assume_applied),
        ],
        'settling a number before the next': [
            patch(ShardLog, '_put_until_settled', _skip_number_in_doubt),
        ],
        'the read of the log before an append': [
            patch(_reader.ShardReader, 'read_to_end', _skip_read),
        ],
        'create-if-absent': [
            patch(StoreLink, 'put', _unconditional(StoreLink.put))
        ],
        'the bound on a known end': [
            patch(_log, 'is_end_current', _always),
            patch(_reader, 'is_end_current', _always),
        ],
        'the claim before the dispatch': [
            patch(Claims, '_acquire_claim', _skip_claim),
        ],
        'keeping the key of an unknown outcome': [
            patch(Claims, '_run_claimed', _run_and_release),
        ],
        'leaving the claims of others alone': [
            patch(Claims, 'append_forwarded', _append_as_own),
        ],
        'keeping the newest segment': [
            patch(_truncate, 'select_expired', _delete_all)
        ],
        'keeping segments for the window': [
            patch(_truncate, 'select_expired', _delete_unexpired),
        ],
    }[guard]


@contextmanager
def without(guard):
    """Run a block with the named guard disabled."""
    with ExitStack() as stack:
        for patch in _patches(guard):
            stack.enter_context(patch)
        yield
