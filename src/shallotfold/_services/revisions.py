"""Order the revisions of a store that may be restored from a backup.

A restored store gives numbers out again. It counts its restores, its era. In
this package a revision holds both, the era in its upper bits, so that each
revision of a later era is higher than all of the earlier ones.
"""

NUMBER_BITS = 40
_NUMBER_MASK = (1 << NUMBER_BITS) - 1


def make_revision(era: int, number: int) -> int:
    """Return the revision for a store's era and its own number."""
    return (era << NUMBER_BITS) | number


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision >> NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the store's own number of a revision."""
    return revision & _NUMBER_MASK
