"""Pass on between peers which entries were alive lately.

Half a byte an entry tells, in steps of `AGE_STEP_S`, how long ago the entry
was alive for certain. Ages are rounded up, so that passing them on never makes
an entry look more alive than it was.
"""

from collections.abc import Iterator
from collections.abc import Sequence
import math
import zlib

AGE_STEP_S = 0.5
_UNREACHED = 15
MAX_AGE_S = (_UNREACHED - 1) * AGE_STEP_S


def digest_names(names: Sequence[str]) -> int:
    """Return a digest of names, to tell whether two lists are the same."""
    return zlib.crc32("\0".join(names).encode())


def encode_ages(ages_s: Sequence[float]) -> bytes:
    """Pack ages in seconds; infinite ones mean unreached."""
    steps = [_to_steps(age_s) for age_s in ages_s]
    if len(steps) % 2:
        steps.append(_UNREACHED)
    return bytes(
        high << 4 | low
        for high, low in zip(steps[::2], steps[1::2], strict=True)
    )


def decode_ages(packed: bytes) -> Iterator[float]:
    """Unpack ages in seconds, one more than packed if the number was odd."""
    for pair in packed:
        yield _from_steps(pair >> 4)
        yield _from_steps(pair & 15)


def _to_steps(age_s: float) -> int:
    if age_s > MAX_AGE_S:
        return _UNREACHED
    return max(0, math.ceil(age_s / AGE_STEP_S))


def _from_steps(steps: int) -> float:
    return math.inf if steps == _UNREACHED else steps * AGE_STEP_S
