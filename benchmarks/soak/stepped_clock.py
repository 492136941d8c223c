"""Run a gateway whose wall clock has an offset that is read from a file."""

from collections.abc import Callable
import mmap
import pathlib
import struct
import sys
import time

OFFSET_FORMAT = struct.Struct("d")


def write_offset(path: pathlib.Path, offset_s: float) -> None:
    """Set the clock offset of the process that reads the file."""
    with path.open("r+b" if path.exists() else "wb") as file:
        file.write(OFFSET_FORMAT.pack(offset_s))


def make_stepped_clock(
    path: pathlib.Path, system_time_s: Callable[[], float]
) -> Callable[[], float]:
    """Return a clock that always adds the current offset in the file."""
    with path.open("rb") as file:
        mapping = mmap.mmap(
            file.fileno(), OFFSET_FORMAT.size, access=mmap.ACCESS_READ
        )
    return lambda: (
        system_time_s() + float(OFFSET_FORMAT.unpack_from(mapping)[0])
    )


def main() -> int:
    """Run the gateway; the first argument is the path of the offset file."""
    time.time = make_stepped_clock(pathlib.Path(sys.argv[1]), time.time)
    # The gateway must be imported only after `time.time` is replaced.
    from shallotfold._cli import gateway_main

    return gateway_main.main([])


if __name__ == "__main__":
    sys.exit(main())
