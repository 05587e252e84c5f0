"""Connectives over truth values and z3's terms alike.

Explanation
===========

Of plain truth values they make plain truth values, at the language's own pace;
where a term is among them they make a term. So a step's text serves z3 and the
replay of a recorded run.
"""

import z3


def neg(part):
    """Return the negation."""
    if isinstance(part, bool):
        return not part
    return z3.Not(part)


def all_of(parts):
    """Return the conjunction of an iterable."""
    terms = []
    for part in parts:
        if part is False:
            return False
        if part is not True:
            terms.append(part)
    return z3.And(terms) if terms else True


def any_of(parts):
    """Return the disjunction of an iterable."""
    terms = []
    for part in parts:
        if part is True:
            return True
        if part is not False:
            terms.append(part)
    return z3.Or(terms) if terms else False


def conj(*parts):
    """Return the conjunction."""
    return all_of(parts)


def disj(*parts):
    """Return the disjunction."""
    return any_of(parts)


def implies(one, other):
    """Return the implication."""
    return disj(neg(one), other)


def chosen(condition, one, other):
    """Return one where the condition holds, else the other."""
    if isinstance(condition, bool):
        return one if condition else other
    return disj(conj(condition, one), conj(neg(condition), other))
