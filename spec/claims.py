"""One shard of the claims log.

Explanation
===========

Callers hand a key to any host at any time, again and again; each time is a
request of its own, with an owner: the host that would run it. Claims wait in
the queue of their owner or of a host that they were forwarded to, go into a
batch, and the batch is appended by creating the object at the first position
that its writer has not read. The answer may be lost, the write may be applied
late or never, hosts may crash at any moment and remember nothing. The first
claim of a key in the log holds it, until its owner's release. Variables:

- ``at p a``: the object at position p is append a's;
- ``used a``, ``place a p``, ``writer a h``, ``claims a r``, ``frees a r``: what
  append a is: which requests it claims for and which it releases;
- ``flying a``: its write may still be applied;
- ``known h p``: host h has read position p;
- ``pending h a``: host h does not yet know what became of append a;
- ``queued h r``, ``batched h r``, ``letgo h r``: request r's claim waits at
  host h, is in its pending append, or its release waits there;
- ``begun r``, ``live r``: request r came, and may yet be dispatched;
- ``heard r``: a host has found in the log that request r holds its key;
- ``ran r``, ``told r``: it was dispatched; its caller was told *not run*.
"""

from spec import claims_proof, claims_state, claims_steps
from spec.claims_state import holders, holds_at, keyed_pairs
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


def repeat_was_found(sizes):
    """Return whether a host has found that its request's key ran elsewhere."""
    return lambda state: any_of(
        conj(
            state.ran(one),
            state.live(two),
            holds_at(state, sizes, sizes.owner(two), one),
        )
        for one, two in keyed_pairs(sizes)
    )


def _release_stands(state, sizes, request):
    return any_of(
        conj(state.at(place, append), state.frees(append, request))
        for place in sizes.places
        for append in sizes.appends
    )


def repeat_ran_after_release(sizes):
    """Return whether a repeat ran after the first was refused and released."""
    return lambda state: any_of(
        conj(
            state.told(one),
            state.ran(two),
            _release_stands(state, sizes, one),
        )
        for one, two in keyed_pairs(sizes)
    )


def repeat_may_be_refused(sizes):
    """Return whether a host may refuse, as not run, a key that ran elsewhere.

    Explanation
    ===========

    This can happen: a refusal speaks of the request at hand, not of earlier
    ones with the same key, since a host that can't read the log knows nothing
    of these.
    """
    return lambda state: any_of(
        conj(
            state.ran(one),
            state.live(two),
            neg(holds_at(state, sizes, sizes.owner(two), one)),
        )
        for one, two in keyed_pairs(sizes)
    )


def claim_landed_after_release(sizes):
    """Return whether a refused request holds its key with no release to come.

    Explanation
    ===========

    This can happen: its claim was forwarded, and the other host appends it
    after the owner's release. The key is held until its window ends, and
    repeats are told *unknown*. Nothing is run twice.
    """
    return lambda state: any_of(
        conj(
            state.told(request),
            holders(state, sizes)[request],
            neg(state.letgo(sizes.owner(request), request)),
            _release_stands(state, sizes, request),
        )
        for request in sizes.requests
    )


def claims_model(sizes, without=''):
    """Return the model of one shard, if asked without one of ``GUARDS``."""
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
