"""Compare two configurations by item or by field."""

from collections.abc import Iterator
from collections.abc import Mapping
import json
from typing import Any

import attrs

from shallotfold._model.configuration import Configuration
from shallotfold._model.serialization import dump_configuration


@attrs.frozen(kw_only=True)
class Change:
    """A field that differs.

    Attributes:
        path: Dotted path of the field.
        before: Old value as JSON; empty if the field was added.
        after: New value as JSON; empty if the field was removed.
    """

    path: str
    before: str
    after: str

    def __str__(self) -> str:
        """Format the change as one line that starts with `+`, `-` or `~`."""
        if not self.before:
            return f"+ {self.path} = {self.after}"
        if not self.after:
            return f"- {self.path} = {self.before}"
        return f"~ {self.path}: {self.before} -> {self.after}"


def diff_configurations(
    old: Configuration, new: Configuration
) -> tuple[Change, ...]:
    """Return the changes that turn `old` into `new`, sorted by path."""
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


def changed_paths(old: Configuration, new: Configuration) -> list[str]:
    """Return the sorted paths that differ, for example `budget`.

    Collections are compared item by item: `workspaces_by_name.north`.
    """
    paths: list[str] = []
    for field in attrs.fields(Configuration):
        old_value = getattr(old, field.name)
        new_value = getattr(new, field.name)
        if isinstance(old_value, Mapping) and isinstance(new_value, Mapping):
            paths.extend(
                f"{field.name}.{key}"
                for key in _changed_keys(old_value, new_value)
            )
        elif old_value != new_value:
            paths.append(field.name)
    return sorted(paths)


def _changed_keys(old: Mapping[str, Any], new: Mapping[str, Any]) -> list[str]:
    return [
        key for key in old.keys() | new.keys() if old.get(key) != new.get(key)
    ]


def _flatten(configuration: Configuration) -> dict[str, str]:
    content = json.loads(dump_configuration(configuration))
    return dict(_iterate_leaves(content, ""))


def _iterate_leaves(value: Any, path: str) -> Iterator[tuple[str, str]]:
    if not isinstance(value, dict):
        yield path, json.dumps(value, sort_keys=True)
        return
    for name, item in value.items():
        yield from _iterate_leaves(item, f"{path}.{name}" if path else name)
