"""Load TOML settings into attrs classes and report all faults at once."""

from collections.abc import Mapping
import difflib
import pathlib
import tomllib
import types
import typing
from typing import Any
from typing import TypeVar

import attrs

from shallotfold._errors import Fault
from shallotfold._errors import InvalidInputError
from shallotfold._settings.addresses import Address
from shallotfold._settings.addresses import parse_address

T = TypeVar("T")

_NAMES_BY_TYPE = {
    str: "a string",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
}


def load_settings(path: pathlib.Path, settings_class: type[T]) -> T:
    """Load a settings file.

    Args:
        path: TOML file.
        settings_class: Attrs class whose fields are the allowed keys. Fields
            may be strings, numbers, booleans, addresses, further attrs
            classes, `tuple[X, ...]` and `Mapping[str, X]`.

    Raises:
        InvalidInputError: The file can't be read or holds faults.
    """
    try:
        content = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise InvalidInputError(
            [
                Fault(
                    source=str(path),
                    key="(file)",
                    found=str(error),
                    allowed="a readable TOML file",
                    remedy="Correct the path given to --settings or the file.",
                )
            ]
        ) from error
    reader = _Reader(str(path))
    settings = reader.read(settings_class, content, "")
    if reader.faults:
        raise InvalidInputError(reader.faults)
    return typing.cast(T, settings)


class _Reader:
    """Convert parsed TOML to typed values and collect the faults."""

    def __init__(self, source: str) -> None:
        self.faults: list[Fault] = []
        self._source = source

    def read(self, wanted: Any, found: Any, key: str) -> Any:
        if attrs.has(wanted) and wanted is not Address:
            return self._read_class(wanted, found, key)
        origin = typing.get_origin(wanted)
        if origin is tuple:
            return self._read_list(typing.get_args(wanted)[0], found, key)
        if origin in (Mapping, dict):
            return self._read_table(typing.get_args(wanted)[1], found, key)
        if origin in (types.UnionType, typing.Union):
            return self.read(typing.get_args(wanted)[0], found, key)
        return self._read_scalar(wanted, found, key)

    def _read_class(self, wanted: type, found: Any, key: str) -> Any:
        if not isinstance(found, dict):
            self._add(key, repr(found), "a table", "Write it as a table.")
            return None
        hints = typing.get_type_hints(wanted)
        fields_by_name = {f.name: f for f in attrs.fields(wanted)}
        for name in found.keys() - fields_by_name.keys():
            self._add_unknown(_join(key, name), name, list(fields_by_name))
        faults_before = len(self.faults)
        values: dict[str, Any] = {}
        for name, field in fields_by_name.items():
            path = _join(key, name)
            if name in found:
                values[name] = self._read_field(
                    field, hints[name], found[name], path
                )
            elif field.default is attrs.NOTHING:
                self._add(path, "nothing", "a value", f"Add {path}.")
        if len(self.faults) > faults_before:
            return None
        return wanted(**values)

    def _read_field(self, field: Any, wanted: Any, found: Any, key: str) -> Any:
        faults_before = len(self.faults)
        value = self.read(wanted, found, key)
        if field.validator is None or len(self.faults) > faults_before:
            return value
        try:
            field.validator(None, field, value)
        except (ValueError, TypeError) as error:
            self._add(key, repr(found), str(error.args[0]), f"Correct {key}.")
        return value

    def _read_list(self, wanted: Any, found: Any, key: str) -> Any:
        if not isinstance(found, list):
            self._add(key, repr(found), "a list", "Write it as [a, b].")
            return None
        return tuple(
            self.read(wanted, item, f"{key}[{index}]")
            for index, item in enumerate(found)
        )

    def _read_table(self, wanted: Any, found: Any, key: str) -> Any:
        if not isinstance(found, dict):
            self._add(key, repr(found), "a table", "Write it as a table.")
            return None
        return {
            name: self.read(wanted, item, _join(key, name))
            for name, item in found.items()
        }

    def _read_scalar(self, wanted: Any, found: Any, key: str) -> Any:
        if wanted is Address:
            return self._read_address(found, key)
        if wanted is float and type(found) is int:
            return float(found)
        if type(found) is not wanted:
            allowed = _NAMES_BY_TYPE[wanted]
            self._add(key, repr(found), allowed, f"Set {key} to {allowed}.")
            return None
        return found

    def _read_address(self, found: Any, key: str) -> Address | None:
        try:
            return parse_address(str(found))
        except ValueError as error:
            self._add(
                key,
                f"{found!r} ({error})",
                '"IP:PORT" with an IP number',
                f"Correct {key}; names are not looked up.",
            )
            return None

    def _add_unknown(self, key: str, name: str, names: list[str]) -> None:
        close = difflib.get_close_matches(name, names, n=1)
        remedy = f"Did you mean {close[0]}?" if close else f"Remove {key}."
        self._add(key, "an unknown key", ", ".join(names), remedy)

    def _add(self, key: str, found: str, allowed: str, remedy: str) -> None:
        self.faults.append(
            Fault(
                source=self._source,
                key=key or "(file)",
                found=found,
                allowed=allowed,
                remedy=remedy,
            )
        )


def _join(key: str, name: str) -> str:
    return f"{key}.{name}" if key else name
