"""Send usage reports over HTTP, on connections that don't outlive the lease."""

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
        """Create the client; each request opens its own connection."""
        self._client = FencedHttpClient(self.url)

    async def send(self, report: UsageReport, timeout_s: float) -> None:
        """Send a report; see `UsageReports`."""
        body = {
            "workspace": report.workspace,
            "window": report.window,
            **attrs.asdict(report.figures),
            "fencing": report.fencing,
        }
        response = await self._client.call("POST", "/v1/usage", body, timeout_s)
        if response.status == HTTPStatus.CONFLICT:
            raise ReportConflictError(
                f"window {report.window} of {report.workspace} was already "
                "reported with other figures; compare them with the frozen "
                "figures"
            )
        if response.status != HTTPStatus.OK:
            raise PlatformError(
                f"{self.url}: status {response.status} for a usage report; "
                "check that usage_url points to the reporting service"
            )

    async def abort(self) -> None:
        """Reset the connections; see `UsageReports`."""
        await self._client.abort()
