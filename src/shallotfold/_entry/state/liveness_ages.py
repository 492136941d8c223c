"""Encode in heartbeats how long ago each entry was known to be alive.

An age takes four bits, in steps that grow with the age. Ages are rounded up,
so forwarding them never makes an entry look more recently alive than it was.
"""

import bisect
from collections.abc import Iterator
from collections.abc import Sequence
import math
import zlib

# fmt: off
AGE_STEPS_S = (
    0.0, 0.25, 0.5, 1.0, 1.5, 2.0, 2.5, 3.0, 4.0, 5.0, 6.0, 7.0, 8.0, 10.0,
    12.0, math.inf,
)
# fmt: on
_UNREACHABLE = len(AGE_STEPS_S) - 1


def digest_names(names: Sequence[str]) -> int:
    """Return a digest for checking whether two lists of names are equal."""
    return zlib.crc32("\0".join(names).encode())


def encode_ages(ages_s: Sequence[float]) -> bytes:
    """Pack ages in seconds; infinite ones mean unreachable."""
    steps = [_to_step(age_s) for age_s in ages_s]
    if len(steps) % 2:
        steps.append(_UNREACHABLE)
    return bytes(
        high << 4 | low
        for high, low in zip(steps[::2], steps[1::2], strict=True)
    )


def decode_ages(packed: bytes) -> Iterator[float]:
    """Unpack ages in seconds; an odd number of ages yields one extra."""
    for pair in packed:
        yield AGE_STEPS_S[pair >> 4]
        yield AGE_STEPS_S[pair & 15]


def _to_step(age_s: float) -> int:
    return bisect.bisect_left(AGE_STEPS_S, age_s)
