"""Run a gateway whose time of day is off by what a file says."""

from collections.abc import Callable
import mmap
import pathlib
import struct
import sys
import time

OFFSET = struct.Struct("d")


def write_offset(path: pathlib.Path, offset_s: float) -> None:
    """Set the offset of the process that reads the file, in seconds."""
    with path.open("r+b" if path.exists() else "wb") as file:
        file.write(OFFSET.pack(offset_s))


def stepped(
    path: pathlib.Path, true_s: Callable[[], float]
) -> Callable[[], float]:
    """Return a clock that is off by what the file says at the moment."""
    with path.open("rb") as file:
        content = mmap.mmap(file.fileno(), OFFSET.size, access=mmap.ACCESS_READ)
    return lambda: true_s() + float(OFFSET.unpack_from(content)[0])


def main() -> int:
    """Run the gateway; the first argument names the file."""
    time.time = stepped(pathlib.Path(sys.argv[1]), time.time)
    # The gateway must not have been imported before.
    from shallotfold._cli import gateway_main

    return gateway_main.main([])


if __name__ == "__main__":
    sys.exit(main())
