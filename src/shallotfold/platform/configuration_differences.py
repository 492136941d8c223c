"""Compare two configurations by the names of their parts."""

from collections.abc import Iterator
from collections.abc import Mapping
import enum
import json
from typing import Any

import attrs

from shallotfold.platform.configuration_checks import DeclaredConfiguration

_KIND_BY_LIST = {
    "Routes": "route",
    "Services": "service",
    "Tenants": "workspace",
}
_KEYS = "ApiKeys"
# Other fields of a workspace may be secret.
_SHOWN_WORKSPACE_FIELDS = frozenset({"Name", "Priority"})
_NOT_SHOWN = "(not shown)"
_ABSENT: Any = object()


class ChangeKind(enum.Enum):
    """What happened to a part of a configuration."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@attrs.frozen
class FieldChange:
    """A field that differs.

    Attributes:
        name: Name in the document; dotted inside an object.
        before: Old value as JSON; empty if the field was absent.
        after: New value as JSON; empty if the field is absent.
    """

    name: str
    before: str
    after: str

    def __str__(self) -> str:
        """Format the change."""
        # The names of fields may have any characters.
        name = self.name if self.name.isprintable() else repr(self.name)
        return f"{name} {self.before or 'absent'} -> {self.after or 'absent'}"


@attrs.frozen(kw_only=True)
class PartChange:
    """A part that was added, removed or changed.

    Attributes:
        part: Kind of part, for example `route`.
        name: Its name; parts of one name are numbered from the second on.
        change: What happened to it.
        fields: Fields that differ, if it was changed. They never have a key
            of a workspace, only the numbers of keys added and removed.
    """

    part: str
    name: str
    change: ChangeKind
    fields: tuple[FieldChange, ...] = ()

    def __str__(self) -> str:
        """Format the change as one line."""
        line = f"{self.change.value}: {self.part} {self.name}"
        if not self.fields:
            return line
        return f"{line}: " + ", ".join(map(str, self.fields))


def compare_configurations(
    old: DeclaredConfiguration, new: DeclaredConfiguration
) -> tuple[PartChange, ...]:
    """Return the changes that turn `old` into `new`.

    The documents are compared, not what hosts decode, so that fields which
    only upstreams or the platform read are compared too. The version and the
    order of parts don't count.

    Raises:
        ValueError: A document is nested too deeply.
    """
    try:
        return tuple(_compare(old.document, new.document))
    except RecursionError as error:
        raise ValueError("the document is nested too deeply") from error


def _compare(
    old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[PartChange]:
    for field, part in _KIND_BY_LIST.items():
        yield from _compare_parts(
            part, _parts_by_name(old, field), _parts_by_name(new, field)
        )
    fields = tuple(
        _compare_fields(_without_lists(old), _without_lists(new), _show)
    )
    # Without the list of workspaces no route needs a key.
    before, after = (
        "present" if x.get("Tenants") is not None else "" for x in (old, new)
    )
    if before != after:
        fields += (FieldChange("Tenants", before, after),)
    if fields:
        yield PartChange(
            part="configuration",
            name="itself",
            change=ChangeKind.CHANGED,
            fields=fields,
        )


def _without_lists(document: Mapping[str, Any]) -> dict[str, Any]:
    return {
        name: value
        for name, value in document.items()
        if name not in _KIND_BY_LIST and name != "Version"
    }


def _parts_by_name(
    document: Mapping[str, Any], field: str
) -> dict[str, Mapping[str, Any]]:
    part_by_name: dict[str, Mapping[str, Any]] = {}
    count_by_name: dict[str, int] = {}
    for part in document.get(field) or ():
        name = part["Name"]
        count = count_by_name[name] = count_by_name.get(name, 0) + 1
        part_by_name[name if count == 1 else f"{name} ({count})"] = part
    return part_by_name


def _compare_parts(
    part: str,
    old: Mapping[str, Mapping[str, Any]],
    new: Mapping[str, Mapping[str, Any]],
) -> Iterator[PartChange]:
    for name in sorted(old.keys() | new.keys()):
        if name not in old:
            yield PartChange(part=part, name=name, change=ChangeKind.ADDED)
        elif name not in new:
            yield PartChange(part=part, name=name, change=ChangeKind.REMOVED)
        elif old[name] != new[name]:
            fields = tuple(
                _compare_workspaces(old[name], new[name])
                if part == "workspace"
                else _compare_fields(old[name], new[name], _show)
            )
            if fields:
                yield PartChange(
                    part=part,
                    name=name,
                    change=ChangeKind.CHANGED,
                    fields=fields,
                )


def _compare_workspaces(
    old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[FieldChange]:
    old_keys, new_keys = set(old[_KEYS]), set(new[_KEYS])
    if old_keys != new_keys:
        yield FieldChange(
            _KEYS,
            str(len(old_keys)),
            f"{len(new_keys)} ({len(new_keys - old_keys)} added, "
            f"{len(old_keys - new_keys)} removed)",
        )
    yield from _compare_fields(
        {name: value for name, value in old.items() if name != _KEYS},
        {name: value for name, value in new.items() if name != _KEYS},
        _show_workspace_field,
    )


def _compare_fields(
    old: Mapping[str, Any], new: Mapping[str, Any], show: Any
) -> Iterator[FieldChange]:
    old, new = _flatten(old), _flatten(new)
    for name in sorted(old.keys() | new.keys()):
        before = old.get(name, _ABSENT)
        after = new.get(name, _ABSENT)
        if before != after:
            yield FieldChange(name, show(name, before), show(name, after))


def _flatten(part: Mapping[str, Any]) -> dict[str, Any]:
    """Give the fields of objects dotted names; a null counts as absent."""
    value_by_name: dict[str, Any] = {}
    for name, value in part.items():
        if isinstance(value, dict):
            inner = _flatten(value)
            value_by_name |= {f"{name}.{key}": v for key, v in inner.items()}
        elif value is not None:
            value_by_name[name] = value
    return value_by_name


def _show(name: str, value: Any) -> str:
    del name
    return "" if value is _ABSENT else json.dumps(value, sort_keys=True)


def _show_workspace_field(name: str, value: Any) -> str:
    if value is _ABSENT or name in _SHOWN_WORKSPACE_FIELDS:
        return _show(name, value)
    return _NOT_SHOWN
