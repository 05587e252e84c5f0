"""One shard of the claims log.

Explanation
===========

Callers hand a key to any host at any time, again and again. Hosts put keys
into batches and append each batch by creating the object at the first position
they have not read. The answer may be lost, the write may be applied late or
never, hosts may crash at any moment and remember nothing. Variables:

- ``at p a``: the object at position p is append a's;
- ``used a``, ``place a p``, ``owner a h``, ``batch a k``: what append a is;
- ``flying a``: its write may still be applied;
- ``known h p``: host h has read position p;
- ``pending h a``: host h does not yet know what became of append a;
- ``waiting``, ``batched``, ``claimed`` h k: where h's request with key k is;
- ``ran k``, ``twice k``: a request with key k was dispatched, and again;
- ``granted a``: a host has taken append a for its own (history);
- ``told h k``: the last request with k at h was told that it did not run;
- ``lied h k``: a request was dispatched after that.
"""

import z3

from spec import claims_proof, claims_steps
from spec.claims_steps import claim_found
from spec.model import Model, any_of

GUARDS = {
    'durable-before-dispatch': 'one run for each key',
    'create-if-absent': 'one run for each key',
    'mark-unique-to-append': 'one run for each key',
    'append-after-known-prefix': 'one run for each key',
    'look-up-before-claim': 'one run for each key',
    'leave-batch-when-refused': 'not run means not run',
}


def key_was_refused_after_run(sizes):
    """Return whether a host may refuse, as not run, a key that ran elsewhere.

    Explanation
    ===========

    This can happen, and is said in the operators' pages: a refusal speaks of
    the request at hand, not of earlier ones with the same key, since a host
    that can't read the log knows nothing of these.
    """
    return lambda state: any_of(
        z3.And(
            state.ran(key),
            state.waiting(host, key),
            z3.Not(claim_found(state, sizes, host, key)),
        )
        for host in sizes.hosts
        for key in sizes.keys
    )


def key_ran_and_repeat_was_found(sizes):
    """Return whether a host waits with a key that it found to have run."""
    return lambda state: any_of(
        z3.And(
            state.ran(key),
            state.waiting(host, key),
            claim_found(state, sizes, host, key),
        )
        for host in sizes.hosts
        for key in sizes.keys
    )


def claims_model(sizes, without=''):
    """Return the model of one shard, if asked without one of ``GUARDS``."""
    sorts = claims_steps.variables(sizes)
    properties = claims_proof.properties(sizes)
    return Model(
        'claims',
        sorts,
        dict.fromkeys(sorts, False),
        claims_steps.all_actions(sizes, without),
        properties,
        {
            **claims_proof.invariants(sizes),
            **properties,
        },
    )
