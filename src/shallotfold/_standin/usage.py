"""Stand in for the platform's usage reports, without I/O."""

import attrs

from shallotfold._errors import ReportConflictError
from shallotfold._services.ports import UsageReport


@attrs.define
class UsageStandin:
    """Take one report per workspace per window.

    Attributes:
        reports_by_window: First reports, by workspace and window.
        repeats_by_window: Repeats with the same figures.
        conflict_count: Reports with other figures, refused.
        stale_count: Reports with an older fencing number than one seen.
    """

    reports_by_window: dict[tuple[str, int], UsageReport] = attrs.field(
        factory=dict
    )
    repeats_by_window: dict[tuple[str, int], int] = attrs.field(factory=dict)
    conflict_count: int = 0
    stale_count: int = 0
    _highest_fencing_by_workspace: dict[str, int] = attrs.field(factory=dict)

    def take(self, report: UsageReport) -> None:
        """Take a report.

        Raises:
            ReportConflictError: Other figures were taken for the window.
        """
        self._watch_fencing(report)
        key = (report.workspace, report.window)
        first = self.reports_by_window.get(key)
        if first is None:
            self.reports_by_window[key] = report
            return
        if first.figures != report.figures:
            self.conflict_count += 1
            raise ReportConflictError(f"{key} was reported with other figures")
        self.repeats_by_window[key] = self.repeats_by_window.get(key, 0) + 1

    def _watch_fencing(self, report: UsageReport) -> None:
        highest = self._highest_fencing_by_workspace.get(report.workspace, 0)
        if report.fencing < highest:
            self.stale_count += 1
        self._highest_fencing_by_workspace[report.workspace] = max(
            highest, report.fencing
        )
