"""Terms: their owners and their rounds."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from saltcourse.address_failover.terms import (
    MAX_VOTERS,
    first_term_of_round,
    next_term,
    term_owner,
    term_round,
)

TERMS = st.integers(0, 2**40)
INDEXES = st.integers(0, MAX_VOTERS - 1)


@given(TERMS, INDEXES)
def test_the_next_term_belongs_to_the_member_and_the_next_round(known_term: int, index: int) -> None:
    term = next_term(known_term, index)
    assert term_owner(term) == index
    assert term_round(term) == term_round(known_term) + 1


@given(TERMS)
def test_a_round_begins_with_its_lowest_term(term: int) -> None:
    first = first_term_of_round(term_round(term))
    assert first <= term < first + MAX_VOTERS
