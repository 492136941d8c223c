"""Name what differs between two configurations."""

from collections.abc import Mapping
from typing import Any

import attrs

from shallotfold._model.configuration import Configuration


def changed_names(before: Configuration, after: Configuration) -> list[str]:
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
