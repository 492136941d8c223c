"""Send usage reports over HTTP, on connections that end with the lease."""

from http import HTTPStatus

import attrs

from shallotfold._errors import PlatformError
from shallotfold._errors import ReportConflictError
from shallotfold._services.fenced_http import FencedHttpClient
from shallotfold._services.ports import UsageReport


@attrs.define
class HttpUsageReports:
    """The `UsageReports` port over HTTP.

    Attributes:
        url: Base URL of the service, `http://IP:PORT`.
    """

    url: str
    _client: FencedHttpClient = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Make the client; each request connects by itself."""
        self._client = FencedHttpClient(self.url)

    async def send(self, report: UsageReport, timeout_s: float) -> None:
        """Send a report; see `UsageReports`."""
        body = {
            "workspace": report.workspace,
            "window": report.window,
            **attrs.asdict(report.figures),
            "fencing": report.fencing,
        }
        answer = await self._client.call("POST", "/v1/usage", body, timeout_s)
        if answer.status == HTTPStatus.CONFLICT:
            raise ReportConflictError(
                f"window {report.window} of {report.workspace} was reported "
                "with other figures; compare them with the frozen ones"
            )
        if answer.status != HTTPStatus.OK:
            raise PlatformError(
                f"{self.url}: status {answer.status} to a usage report; check "
                "that usage_url points to the reporting service"
            )

    async def abort(self) -> None:
        """Drop the connection; see `UsageReports`."""
        await self._client.abort()
