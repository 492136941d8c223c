"""Explain a request from the logs of gateways."""

from collections.abc import Iterator
from collections.abc import Sequence
import pathlib

from shallotfold._errors import UsageError
from shallotfold._operator import request_trace
from shallotfold._operator.commands.context import CommandContext


async def explain(
    context: CommandContext, request_id: str, paths: Sequence[pathlib.Path]
) -> None:
    """Print the log lines about a request and their likely causes.

    Raises:
        UsageError: A file can't be read, or none is the log of a gateway.
    """
    trace = request_trace.read_trace(_read_lines(paths), request_id)
    causes = trace.causes()
    context.output.write_json(
        {
            "request_id": request_id,
            "causes": causes,
            "lines": [dict(step.line) for step in trace.steps],
        }
    )
    if trace.steps:
        context.output.write_table(
            ("host", "up", "decision", "inputs"),
            [
                (s.host, str(s.line.get("up")), s.decision, s.inputs)
                for s in trace.steps
            ],
        )
    for cause in causes:
        context.output.write_line(f"- {cause}")


def _read_lines(paths: Sequence[pathlib.Path]) -> Iterator[str]:
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as log:
                yield from log
        except OSError as error:
            raise UsageError(f"can't read {path}: {error.strerror}") from error
