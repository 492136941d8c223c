"""Query the operator ports of entries for their status and for requests."""

import asyncio
import pathlib
from typing import Any

import aiohttp
import attrs

from shallotfold._errors import ShallotfoldError
from shallotfold._errors import UsageError
from shallotfold._operator.commands.context import CommandContext
from shallotfold._settings.operator import OperatorSettings


class NoEntryAnsweredError(ShallotfoldError):
    """No entry answered; check `entry_urls` and that the entries run."""


@attrs.frozen(kw_only=True)
class EntryResponse:
    """Response of one entry's operator port.

    Attributes:
        url: Base URL of the entry.
        status: HTTP status; 0 if the entry could not be reached.
        content: Parsed JSON object; empty if there was none.
        error: Why the entry could not be reached; empty if it responded.
    """

    url: str
    status: int = 0
    content: dict[str, Any] = attrs.field(factory=dict)
    error: str = ""


async def query_entries(
    settings: OperatorSettings, path: str
) -> tuple[EntryResponse, ...]:
    """Fetch one path from all entries concurrently.

    Raises:
        UsageError: The settings name no entry, or the key can't be read.
        NoEntryAnsweredError: No entry could be reached.
    """
    if not settings.entry_urls:
        raise UsageError("add entry_urls to the settings of the command line")
    timeout = aiohttp.ClientTimeout(total=settings.timeout_s)
    headers = {"Authorization": f"Bearer {_read_operator_key(settings)}"}
    async with aiohttp.ClientSession(timeout=timeout, headers=headers) as http:
        responses = await asyncio.gather(
            *(_query_entry(http, url, path) for url in settings.entry_urls)
        )
    if all(response.status == 0 for response in responses):
        details = "; ".join(f"{r.url}: {r.error}" for r in responses)
        raise NoEntryAnsweredError(
            f"no entry answered ({details}); check entry_urls"
        )
    return tuple(responses)


async def explain(context: CommandContext, request_id: str) -> None:
    """Print how the entries handled a request, and why.

    Raises:
        UsageError: No entry has a trace of the request.
    """
    responses = await query_entries(
        context.settings(), f"/operator/explain/{request_id}"
    )
    traces = [
        response for response in responses if response.content.get("steps")
    ]
    if not traces:
        raise UsageError(
            f"no entry has a trace of request {request_id!r}; entries keep "
            "traces of recent requests only, and lose them on a restart"
        )
    for response in traces:
        context.output.write_json({"entry": response.url, **response.content})
        context.output.write_line(f"at {response.url}:")
        context.output.write_table(
            ("time", "step", "detail"),
            [
                (
                    str(step.get("at", "")),
                    str(step.get("step", "")),
                    str(step.get("detail", "")),
                )
                for step in response.content["steps"]
            ],
        )


async def _query_entry(
    http: aiohttp.ClientSession, url: str, path: str
) -> EntryResponse:
    try:
        async with http.get(url.rstrip("/") + path) as response:
            content = await response.json(content_type=None)
            if not isinstance(content, dict):
                content = {}
            return EntryResponse(
                url=url, status=response.status, content=content
            )
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        return EntryResponse(url=url, error=str(error) or type(error).__name__)


def _read_operator_key(settings: OperatorSettings) -> str:
    if not settings.operator_key_file:
        raise UsageError("add operator_key_file to the settings")
    path = pathlib.Path(settings.operator_key_file)
    try:
        return path.read_text(encoding="utf-8").strip()
    except OSError as error:
        raise UsageError(f"can't read {path}: {error.strerror}") from error
