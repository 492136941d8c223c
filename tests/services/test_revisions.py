"""Test the order of revisions across restores."""

from hypothesis import given
from hypothesis import strategies as st

from shallotfold._services import revisions

NUMBERS = st.integers(0, 2**revisions.NUMBER_BITS - 1)
ERAS = st.integers(0, 1000)


@given(ERAS, NUMBERS, ERAS, NUMBERS)
def test_revisions_are_ordered_by_era_then_number(
    era: int, number: int, other_era: int, other_number: int
) -> None:
    revision = revisions.make_revision(era, number)
    other = revisions.make_revision(other_era, other_number)
    assert (revision < other) == ((era, number) < (other_era, other_number))
    assert revisions.era_of(revision) == era
    assert revisions.number_of(revision) == number
