"""Model of one shard of the claims log.

Explanation
===========

Callers may send a key to any host at any time and any number of times. Each
time is a separate request with an owner, the host that would run it. Claims
are queued at their owner or at a host that they were forwarded to, and are
collected in a batch. The batch is appended by creating the object at the first
position that its writer has not read. The answer may be lost, the write may be
applied late or never, and hosts may crash at any moment and lose their memory.
The first claim of a key in the log holds the key until its owner releases it.
Variables:

- ``at p a``: the object at position p was written by append a;
- ``used a``: append a was sent;
- ``place a p``, ``writer a h``: position and writer of append a;
- ``claims a r``, ``frees a r``: append a claims for or releases request r;
- ``flying a``: the write of append a may still be applied;
- ``known h p``: host h has read position p;
- ``pending h a``: host h does not know yet whether append a was applied;
- ``queued h r``, ``batched h r``: the claim of request r is queued at host h,
  or is in its pending append;
- ``letgo h r``: the release of request r is queued at host h;
- ``begun r``, ``live r``: request r has arrived, and may still be dispatched;
- ``heard r``: a host has read in the log that request r holds its key;
- ``ran r``: request r was dispatched;
- ``told r``: the caller of request r got the answer *not run*.
"""

from spec import claims_proof, claims_state, claims_steps
from spec.claims_state import holders, holds_at, same_key_pairs
from spec.logic import any_of, conj, neg
from spec.model import Model

GUARDS = {
    'durable-before-dispatch': claims_proof.ONE_RUN,
    'create-if-absent': claims_proof.ONE_RUN,
    'append-after-known-prefix': claims_proof.ONE_RUN,
    'first-claim-in-the-log-holds': claims_proof.ONE_RUN,
    'release-only-what-has-not-run': claims_proof.ONE_RUN,
    'release-only-by-the-owner': claims_proof.ONE_RUN,
    'leave-batch-when-refused': claims_proof.NOT_RUN,
}


def repeat_finds_earlier_run(sizes):
    """Return a predicate: a host has read that its key ran elsewhere."""
    return lambda state: any_of(
        conj(
            state.ran(one),
            state.live(two),
            holds_at(state, sizes, sizes.owner(two), one),
        )
        for one, two in same_key_pairs(sizes)
    )


def _is_release_written(state, sizes, request):
    return any_of(
        conj(state.at(position, append), state.frees(append, request))
        for position in sizes.positions
        for append in sizes.appends
    )


def repeat_ran_after_release(sizes):
    """Return a predicate: a repeat ran after the refusal and release."""
    return lambda state: any_of(
        conj(
            state.told(one),
            state.ran(two),
            _is_release_written(state, sizes, one),
        )
        for one, two in same_key_pairs(sizes)
    )


def repeat_may_be_refused(sizes):
    """Return a predicate: a host may refuse a request whose key ran elsewhere.

    Explanation
    ===========

    This state is reachable. The refusal *not run* applies only to the request
    itself, not to earlier requests with the same key, because a host that
    can't read the log does not know about them.
    """
    return lambda state: any_of(
        conj(
            state.ran(one),
            state.live(two),
            neg(holds_at(state, sizes, sizes.owner(two), one)),
        )
        for one, two in same_key_pairs(sizes)
    )


def claim_written_after_release(sizes):
    """Return a predicate: a refused request keeps its key without a release.

    Explanation
    ===========

    This state is reachable: the claim was forwarded, and the other host
    appends it after the owner's release. The key is held until its window
    ends, and repeats get the answer *unknown*. Nothing runs twice.
    """
    return lambda state: any_of(
        conj(
            state.told(request),
            holders(state, sizes)[request],
            neg(state.letgo(sizes.owner(request), request)),
            _is_release_written(state, sizes, request),
        )
        for request in sizes.requests
    )


def claims_model(sizes, without=''):
    """Return the model of one shard, optionally without one of ``GUARDS``."""
    sorts = claims_state.variables(sizes)
    properties = claims_proof.properties(sizes)
    return Model(
        'claims',
        sorts,
        dict.fromkeys(sorts, False),
        claims_steps.all_actions(sizes, without),
        properties,
        {**claims_proof.invariants(sizes), **properties},
        claims_state.choices(sizes),
    )
