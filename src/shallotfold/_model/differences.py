"""Tell what differs between two configurations, by item or by field."""

from collections.abc import Iterator
from collections.abc import Mapping
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


def diff_configurations(
    old: Configuration, new: Configuration
) -> tuple[Change, ...]:
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


def changed_paths(before: Configuration, after: Configuration) -> list[str]:
    """Return the sorted paths that differ, for example `budget`.

    Collections are compared item by item: `workspaces_by_name.north`.
    """
    names: list[str] = []
    for field in attrs.fields(Configuration):
        old = getattr(before, field.name)
        new = getattr(after, field.name)
        if isinstance(old, Mapping) and isinstance(new, Mapping):
            names.extend(f"{field.name}.{key}" for key in _changed(old, new))
        elif old != new:
            names.append(field.name)
    return sorted(names)


def _changed(old: Mapping[str, Any], new: Mapping[str, Any]) -> list[str]:
    return [
        key for key in old.keys() | new.keys() if old.get(key) != new.get(key)
    ]


def _flatten(configuration: Configuration) -> dict[str, str]:
    content = json.loads(dump_configuration(configuration))
    return dict(_walk(content, ""))


def _walk(value: Any, path: str) -> Iterator[tuple[str, str]]:
    if not isinstance(value, dict):
        yield path, json.dumps(value, sort_keys=True)
        return
    for name, item in value.items():
        yield from _walk(item, f"{path}.{name}" if path else name)
