"""Compare two configurations field by field."""

from collections.abc import Iterator
import json
from typing import Any

import attrs

from shallotfold._model.configuration import Configuration
from shallotfold._model.serialization import dump_configuration


@attrs.frozen(kw_only=True)
class Change:
    """One field that differs.

    Attributes:
        path: Dotted path of the field.
        before: Old value as JSON; empty when the field is new.
        after: New value as JSON; empty when the field is gone.
    """

    path: str
    before: str
    after: str

    def __str__(self) -> str:
        """Render the change on one line, marked with `+`, `-` or `~`."""
        if not self.before:
            return f"+ {self.path} = {self.after}"
        if not self.after:
            return f"- {self.path} = {self.before}"
        return f"~ {self.path}: {self.before} -> {self.after}"


def compare(old: Configuration, new: Configuration) -> tuple[Change, ...]:
    """Return the changes that turn `old` into `new`, in order of path."""
    before_by_path = _flatten(old)
    after_by_path = _flatten(new)
    paths = sorted(before_by_path.keys() | after_by_path.keys())
    return tuple(
        Change(
            path=path,
            before=before_by_path.get(path, ""),
            after=after_by_path.get(path, ""),
        )
        for path in paths
        if before_by_path.get(path) != after_by_path.get(path)
    )


def _flatten(configuration: Configuration) -> dict[str, str]:
    content = json.loads(dump_configuration(configuration))
    return dict(_walk(content, ""))


def _walk(value: Any, path: str) -> Iterator[tuple[str, str]]:
    if not isinstance(value, dict):
        yield path, json.dumps(value, sort_keys=True)
        return
    for name, item in value.items():
        yield from _walk(item, f"{path}.{name}" if path else name)
