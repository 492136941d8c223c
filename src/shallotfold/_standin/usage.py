"""Simulate the platform's usage reports, without I/O."""

import attrs

from shallotfold._errors import ReportConflictError
from shallotfold._services.ports import UsageReport


@attrs.define
class UsageStandin:
    """Accept one report per workspace and window.

    Attributes:
        reports_by_window: First reports, by workspace and window.
        repeats_by_window: Number of repeats with the same figures.
        conflict_count: Refused reports with other figures.
        stale_count: Reports with an older fencing token than an earlier
            report of the workspace.
    """

    reports_by_window: dict[tuple[str, int], UsageReport] = attrs.field(
        factory=dict
    )
    repeats_by_window: dict[tuple[str, int], int] = attrs.field(factory=dict)
    conflict_count: int = 0
    stale_count: int = 0
    _highest_fencing_by_workspace: dict[str, int] = attrs.field(factory=dict)

    def accept(self, report: UsageReport) -> None:
        """Accept a report.

        Raises:
            ReportConflictError: Other figures were accepted for the window.
        """
        self._track_fencing(report)
        key = (report.workspace, report.window)
        first = self.reports_by_window.get(key)
        if first is None:
            self.reports_by_window[key] = report
            return
        if first.figures != report.figures:
            self.conflict_count += 1
            raise ReportConflictError(f"{key} was reported with other figures")
        self.repeats_by_window[key] = self.repeats_by_window.get(key, 0) + 1

    def _track_fencing(self, report: UsageReport) -> None:
        highest = self._highest_fencing_by_workspace.get(report.workspace, 0)
        if report.fencing < highest:
            self.stale_count += 1
        self._highest_fencing_by_workspace[report.workspace] = max(
            highest, report.fencing
        )
