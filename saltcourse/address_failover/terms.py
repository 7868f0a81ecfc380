"""Terms of the election: whole numbers that say whose they are and to which round they belong.

A term is ``round * MAX_VOTERS + index``, where ``index`` is its owner's place among the configured voters.
So two members never run in the same term, and routes can be ranked by the round.
"""

from __future__ import annotations

MAX_VOTERS = 64


def term_round(term: int) -> int:
    """The round of candidacies that a term belongs to."""
    return term // MAX_VOTERS


def term_owner(term: int) -> int:
    """The index of the only member that may be a candidate in a term."""
    return term % MAX_VOTERS


def first_term_of_round(number: int) -> int:
    """The lowest term of a round."""
    return number * MAX_VOTERS


def next_term(known_term: int, index: int) -> int:
    """The lowest term of the member at ``index`` in a round above that of ``known_term``."""
    return first_term_of_round(term_round(known_term) + 1) + index
