"""Read what a process uses from /proc."""

import os
import pathlib

import attrs


@attrs.frozen(kw_only=True)
class ProcessUsage:
    """What one process has used so far.

    Attributes:
        cpu_s: Processor time.
        resident_bytes: Resident memory now.
        io_bytes: Bytes moved by read and write calls, sockets included;
            datagrams are not.
    """

    cpu_s: float
    resident_bytes: int
    io_bytes: int


def read_usage(pid: int) -> ProcessUsage:
    """Return the usage of a process.

    Raises:
        OSError: There is no such process.
    """
    root = pathlib.Path("/proc") / str(pid)
    # The command name may contain spaces, so fields are counted after it.
    fields = (root / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[11]) + int(fields[12])
    pages = int((root / "statm").read_text().split()[1])
    counts = dict(
        line.split(": ") for line in (root / "io").read_text().splitlines()
    )
    return ProcessUsage(
        cpu_s=ticks / os.sysconf("SC_CLK_TCK"),
        resident_bytes=pages * os.sysconf("SC_PAGE_SIZE"),
        io_bytes=int(counts["rchar"]) + int(counts["wchar"]),
    )
