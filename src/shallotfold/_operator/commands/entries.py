"""Ask the entries what they are and what happened to a request."""

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
class EntryAnswer:
    """What one entry answered on its operator port.

    Attributes:
        url: Base URL of the entry.
        status: HTTP status; 0 when it could not be reached.
        content: Parsed JSON object; empty without one.
        error: Why it could not be reached; empty when it answered.
    """

    url: str
    status: int = 0
    content: dict[str, Any] = attrs.field(factory=dict)
    error: str = ""


async def ask_entries(
    settings: OperatorSettings, path: str
) -> tuple[EntryAnswer, ...]:
    """Read one path from every entry at once.

    Raises:
        UsageError: The settings name no entry, or the key file is missing.
        NoEntryAnsweredError: None could be reached.
    """
    if not settings.entry_urls:
        raise UsageError("add entry_urls to the settings of the command line")
    timeout = aiohttp.ClientTimeout(total=settings.timeout_s)
    headers = {"Authorization": f"Bearer {_operator_key(settings)}"}
    async with aiohttp.ClientSession(timeout=timeout, headers=headers) as http:
        answers = await asyncio.gather(
            *(_ask(http, url, path) for url in settings.entry_urls)
        )
    if all(answer.status == 0 for answer in answers):
        details = "; ".join(f"{a.url}: {a.error}" for a in answers)
        raise NoEntryAnsweredError(
            f"no entry answered ({details}); check entry_urls"
        )
    return tuple(answers)


async def explain(context: CommandContext, request_id: str) -> None:
    """Print where a request went and why.

    Raises:
        UsageError: No entry remembers the request.
    """
    answers = await ask_entries(
        context.settings(), f"/operator/explain/{request_id}"
    )
    known = [answer for answer in answers if answer.content.get("steps")]
    if not known:
        raise UsageError(
            f"no entry remembers request {request_id!r}; entries remember "
            "the last requests only, and a restarted entry none"
        )
    for answer in known:
        context.output.write_json({"entry": answer.url, **answer.content})
        context.output.write_line(f"at {answer.url}:")
        context.output.write_table(
            ("time", "step", "detail"),
            [
                (
                    str(step.get("at", "")),
                    str(step.get("step", "")),
                    str(step.get("detail", "")),
                )
                for step in answer.content["steps"]
            ],
        )


async def _ask(http: aiohttp.ClientSession, url: str, path: str) -> EntryAnswer:
    try:
        async with http.get(url.rstrip("/") + path) as answer:
            content = await answer.json(content_type=None)
            if not isinstance(content, dict):
                content = {}
            return EntryAnswer(url=url, status=answer.status, content=content)
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        return EntryAnswer(url=url, error=str(error) or type(error).__name__)


def _operator_key(settings: OperatorSettings) -> str:
    if not settings.operator_key_file:
        raise UsageError("add operator_key_file to the settings")
    path = pathlib.Path(settings.operator_key_file)
    try:
        return path.read_text(encoding="utf-8").strip()
    except OSError as error:
        raise UsageError(f"can't read {path}: {error.strerror}") from error
