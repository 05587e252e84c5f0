"""Logical connectives over Python booleans and z3 terms.

Explanation
===========

Booleans give a boolean, without calls of z3; if any argument is a z3 term, the
result is a term. So the same action definitions serve the solver and the
replay of a recorded run.
"""

import z3


def neg(part):
    """Return the negation of a boolean or term."""
    if isinstance(part, bool):
        return not part
    return z3.Not(part)


def all_of(parts):
    """Return the conjunction of an iterable of booleans and terms."""
    terms = []
    for part in parts:
        if part is False:
            return False
        if part is not True:
            terms.append(part)
    return z3.And(terms) if terms else True


def any_of(parts):
    """Return the disjunction of an iterable of booleans and terms."""
    terms = []
    for part in parts:
        if part is True:
            return True
        if part is not False:
            terms.append(part)
    return z3.Or(terms) if terms else False


def conj(*parts):
    """Return the conjunction of the arguments."""
    return all_of(parts)


def disj(*parts):
    """Return the disjunction of the arguments."""
    return any_of(parts)


def implies(premise, conclusion):
    """Return the implication of the second argument by the first."""
    return disj(neg(premise), conclusion)


def if_then_else(condition, consequent, alternative):
    """Return the consequent if the condition holds, else the alternative."""
    if isinstance(condition, bool):
        return consequent if condition else alternative
    return disj(conj(condition, consequent), conj(neg(condition), alternative))
