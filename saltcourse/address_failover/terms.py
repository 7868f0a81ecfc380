"""Terms of the election: integers that encode a round and the member that owns the term.

A term is ``round * MAX_VOTERS + index``, where ``index`` is the owner's position among the configured voters.
So two members are never candidates in the same term, and routes can be ranked by round.
"""

from __future__ import annotations

MAX_VOTERS = 64


def term_round(term: int) -> int:
    """Return the round of a term."""
    return term // MAX_VOTERS


def term_owner(term: int) -> int:
    """Return the index of the only member that may be a candidate in a term."""
    return term % MAX_VOTERS


def first_term_of_round(number: int) -> int:
    """Return the lowest term of a round."""
    return number * MAX_VOTERS


def next_term(known_term: int, index: int) -> int:
    """Return the term of the member at ``index`` in the round after that of ``known_term``."""
    return first_term_of_round(term_round(known_term) + 1) + index
