"""Explain a request from the logs of gateways."""

from collections.abc import Iterator
from collections.abc import Sequence
import pathlib

from shallotfold._errors import UsageError
from shallotfold._operator import log_stories
from shallotfold._operator.commands.context import CommandContext


async def explain(
    context: CommandContext, request_id: str, paths: Sequence[pathlib.Path]
) -> None:
    """Print what logs say of a request, and what it comes to.

    Raises:
        UsageError: A file can't be read, or none is a gateway's log.
    """
    story = log_stories.read_story(_lines(paths), request_id)
    causes = story.causes()
    context.output.write_json(
        {
            "request_id": request_id,
            "causes": causes,
            "lines": [dict(step.line) for step in story.steps],
        }
    )
    if story.steps:
        context.output.write_table(
            ("host", "up", "decision", "inputs"),
            [
                (s.host, str(s.line.get("up")), s.decision, s.inputs)
                for s in story.steps
            ],
        )
    for cause in causes:
        context.output.write_line(f"- {cause}")


def _lines(paths: Sequence[pathlib.Path]) -> Iterator[str]:
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as log:
                yield from log
        except OSError as error:
            raise UsageError(f"can't read {path}: {error.strerror}") from error
