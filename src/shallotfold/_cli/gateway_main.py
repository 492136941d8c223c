"""Start `shallotfold-gateway`."""

from collections.abc import Sequence

from shallotfold._runtime import reload_signal


def main(argv: Sequence[str] | None = None) -> int:
    """Run the binary and return its exit code."""
    reload_signal.hold()
    # Imported only now, since the import takes most of the start and the
    # platform may change the settings meanwhile.
    from shallotfold._cli import gateway_command

    return gateway_command.main(argv)


if __name__ == "__main__":
    raise SystemExit(main())
