"""Define the exception hierarchy of shallotfold.

Every message says what is wrong and how to correct it.
"""

from collections.abc import Sequence

import attrs


class ShallotfoldError(Exception):
    """Base of all errors that shallotfold raises itself."""


class UsageError(ShallotfoldError):
    """The user made a mistake; the message says what to do instead."""


@attrs.frozen
class Fault:
    """One mistake found in user input.

    Attributes:
        source: File or object that contains the mistake.
        key: Dotted path of the wrong key.
        found: The wrong value, as text.
        allowed: Which values are allowed.
        remedy: How to correct it, as an imperative sentence.
    """

    source: str
    key: str
    found: str
    allowed: str
    remedy: str

    def __str__(self) -> str:
        """Format the fault as one line."""
        return (
            f"{self.source}: {self.key}: found {self.found}; "
            f"allowed: {self.allowed}. {self.remedy}"
        )


class InvalidInputError(UsageError):
    """Report all faults of one settings file or configuration at once.

    Attributes:
        faults: The faults, in the order in which they were found.
    """

    def __init__(self, faults: Sequence[Fault]) -> None:
        self.faults = tuple(faults)
        super().__init__("\n".join(str(fault) for fault in self.faults))


class PlatformError(ShallotfoldError):
    """Base of the errors of calls to the platform."""


class StoreUnavailableError(PlatformError):
    """The key-value service did not answer; a write may have taken effect."""


class WatchInterruptedError(StoreUnavailableError):
    """A watch that waited for changes lost its connection.

    The service had accepted the call, and may answer all others.
    """


class StoreConflictError(PlatformError):
    """A compare-and-swap found another revision and changed nothing.

    Attributes:
        key: Key of the failed write.
        actual_revision: Revision in the store; 0 if the key is absent.
    """

    def __init__(self, key: str, actual_revision: int) -> None:
        self.key = key
        self.actual_revision = actual_revision
        super().__init__(
            f"{key} is at revision {actual_revision}; "
            "read it again and apply the change to the newer value"
        )


class HistoryLostError(PlatformError):
    """The changes since a revision are no longer stored; read all again."""


class ValueTooLargeError(PlatformError):
    """A value exceeds one megabyte and was not written; split it."""


class StoredValueError(PlatformError):
    """A value in the store is missing or damaged.

    Attributes:
        key: Key of the value.
    """

    def __init__(self, key: str, found: str) -> None:
        self.key = key
        super().__init__(
            f"{key} contains {found}; submit the configuration again"
        )


class ConfigurationRaceError(ShallotfoldError):
    """Another version was accepted before the submitted one.

    Attributes:
        base_version: Version that the submission was derived from.
        actual_version: Version in the store.
        who: Who submitted the version in the store.
        why: Reason given for that version.
        changed: Paths that changed since the base version.
    """

    def __init__(
        self,
        *,
        base_version: int,
        actual_version: int,
        who: str,
        why: str,
        changed: Sequence[str],
    ) -> None:
        self.base_version = base_version
        self.actual_version = actual_version
        self.who = who
        self.why = why
        self.changed = tuple(changed)
        names = ", ".join(self.changed) or "unknown"
        super().__init__(
            f"not accepted: version {actual_version} by {who!r} ({why!r}) is "
            f"in force, not the base version {base_version}; changed since: "
            f"{names}. Read version {actual_version}, apply your change to it "
            f"and submit it with base version {actual_version}"
        )


class SubmissionUnknownError(PlatformError):
    """A submission may have been accepted; the store did not answer.

    Attributes:
        token: Writer token that identifies the submission.
    """

    def __init__(self, token: str) -> None:
        self.token = token
        super().__init__(
            "the store stopped answering and the configuration may have been "
            f"accepted; look up submission {token} when the store is back"
        )


class LeaseLostError(PlatformError):
    """The lease has expired or was never granted; acquire a new lease."""


class OrderRefusedError(PlatformError):
    """The platform refused an order and did not execute it.

    Attributes:
        code: Reason code of the platform, for example `no_capacity`.
    """

    def __init__(self, code: str, message: str) -> None:
        self.code = code
        super().__init__(message)


class OrderOutcomeUnknownError(PlatformError):
    """An order got no answer; look it up by its id before repeating it."""


class ReportConflictError(PlatformError):
    """A report with other figures was accepted for this window before."""


class PeerError(ShallotfoldError):
    """Base of the errors of connections between entries."""


class HandshakeError(PeerError):
    """The peer failed authentication or uses another protocol version."""


class FrameError(PeerError):
    """Bytes on a peer connection do not form a valid bounded frame."""
