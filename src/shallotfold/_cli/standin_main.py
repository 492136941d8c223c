"""Start `shallotfold-standin`."""


def main() -> int:
    """Run the binary and return its exit code."""
    raise NotImplementedError
