"""Generate the settings reference from the settings classes.

python -m shallotfold._settings.reference > docs/SETTINGS.md
"""

from collections.abc import Iterator
import inspect
import re
import sys
import types
import typing
from typing import Any

import attrs

from shallotfold._settings.addresses import Address
from shallotfold._settings.controller import ControllerSettings
from shallotfold._settings.entry import EntrySettings
from shallotfold._settings.operator import OperatorSettings

_BINARIES: tuple[tuple[str, type], ...] = (
    ("shallotfold-entry", EntrySettings),
    ("shallotfold-controller", ControllerSettings),
    ("shallotfold", OperatorSettings),
)
_ATTRIBUTE = re.compile(r"^    (\w+): (.*)$")
_REQUIRED = "required"


@attrs.frozen(kw_only=True)
class SettingRow:
    """One key of a settings file.

    Attributes:
        key: Dotted path.
        default: Default as TOML, or `required`.
        meaning: Description of the setting.
    """

    key: str
    default: str
    meaning: str


def render_reference() -> str:
    """Return the page as Markdown."""
    lines = [
        "# Settings",
        "",
        "Made from the code by `python -m shallotfold._settings.reference`. "
        "Settings are TOML; a key with a dot is in the table before the dot. "
        "Unknown keys are faults. `--check` lists all faults and exits.",
    ]
    for binary, settings_class in _BINARIES:
        lines += [
            "",
            f"## `{binary}`",
            "",
            "| key | default | meaning |",
            "| --- | --- | --- |",
        ]
        lines += [
            f"| `{row.key}` | {row.default} | {row.meaning} |"
            for row in list_settings(settings_class)
        ]
    return "\n".join(lines) + "\n"


def list_settings(
    settings_class: type, prefix: str = ""
) -> Iterator[SettingRow]:
    """Yield the keys of a settings class, including nested tables."""
    hints = typing.get_type_hints(settings_class)
    meaning_by_name = _attribute_meanings(settings_class)
    for field in attrs.fields(settings_class):
        nested = _nested_class(hints[field.name])
        key = prefix + field.name
        if nested is not None:
            yield from list_settings(nested, key + ".")
            continue
        yield SettingRow(
            key=key,
            default=_format_default(field.default),
            meaning=meaning_by_name[field.name],
        )


def _nested_class(hint: Any) -> type | None:
    candidates = (
        typing.get_args(hint)
        if typing.get_origin(hint) in (types.UnionType, typing.Union)
        else (hint,)
    )
    for candidate in candidates:
        if attrs.has(candidate) and candidate is not Address:
            return typing.cast(type, candidate)
    return None


def _attribute_meanings(settings_class: type) -> dict[str, str]:
    """Return the description of each attribute from the doc comment."""
    meaning_by_name: dict[str, str] = {}
    name = ""
    for line in (inspect.getdoc(settings_class) or "").splitlines():
        match = _ATTRIBUTE.match(line)
        if match:
            name = match[1]
            meaning_by_name[name] = match[2]
        elif name and line.startswith("        "):
            meaning_by_name[name] += " " + line.strip()
    return meaning_by_name


def _format_default(default: Any) -> str:
    if default is attrs.NOTHING:
        return _REQUIRED
    if isinstance(default, attrs.Factory):  # type: ignore[arg-type]
        default = default.factory()
    if default is None:
        return "none"
    if isinstance(default, bool):
        return f"`{str(default).lower()}`"
    if isinstance(default, tuple):
        return "`[]`"
    if isinstance(default, dict):
        return "`{}`"
    text = str(default)
    quoted = isinstance(default, str | Address)
    return f'`"{text}"`' if quoted else f"`{text}`"


if __name__ == "__main__":
    sys.stdout.write(render_reference())
