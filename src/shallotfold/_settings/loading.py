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
        InvalidInputError: The file can't be read or has faults.
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
    reader = _SettingsReader(str(path))
    settings = reader.read(settings_class, content, "")
    if reader.faults:
        raise InvalidInputError(reader.faults)
    return typing.cast(T, settings)


class _SettingsReader:
    """Convert parsed TOML to typed values and collect the faults."""

    def __init__(self, source: str) -> None:
        self.faults: list[Fault] = []
        self._source = source

    def read(self, expected_type: Any, raw: Any, key: str) -> Any:
        if attrs.has(expected_type) and expected_type is not Address:
            return self._read_class(expected_type, raw, key)
        origin = typing.get_origin(expected_type)
        if origin is tuple:
            return self._read_list(typing.get_args(expected_type)[0], raw, key)
        if origin in (Mapping, dict):
            return self._read_table(typing.get_args(expected_type)[1], raw, key)
        if origin in (types.UnionType, typing.Union):
            return self.read(typing.get_args(expected_type)[0], raw, key)
        return self._read_scalar(expected_type, raw, key)

    def _read_class(self, expected_type: type, raw: Any, key: str) -> Any:
        if not isinstance(raw, dict):
            self._add_fault(key, repr(raw), "a table", "Write it as a table.")
            return None
        hints = typing.get_type_hints(expected_type)
        fields_by_name = {f.name: f for f in attrs.fields(expected_type)}
        for name in raw.keys() - fields_by_name.keys():
            self._add_unknown_key(_join(key, name), name, list(fields_by_name))
        faults_before = len(self.faults)
        values: dict[str, Any] = {}
        for name, field in fields_by_name.items():
            path = _join(key, name)
            if name in raw:
                values[name] = self._read_field(
                    field, hints[name], raw[name], path
                )
            elif field.default is attrs.NOTHING:
                self._add_fault(path, "nothing", "a value", f"Add {path}.")
        if len(self.faults) > faults_before:
            return None
        return expected_type(**values)

    def _read_field(
        self, field: Any, expected_type: Any, raw: Any, key: str
    ) -> Any:
        faults_before = len(self.faults)
        value = self.read(expected_type, raw, key)
        if field.validator is None or len(self.faults) > faults_before:
            return value
        try:
            field.validator(None, field, value)
        except (ValueError, TypeError) as error:
            self._add_fault(
                key, repr(raw), str(error.args[0]), f"Correct {key}."
            )
        return value

    def _read_list(self, expected_type: Any, raw: Any, key: str) -> Any:
        if not isinstance(raw, list):
            self._add_fault(key, repr(raw), "a list", "Write it as [a, b].")
            return None
        return tuple(
            self.read(expected_type, item, f"{key}[{index}]")
            for index, item in enumerate(raw)
        )

    def _read_table(self, expected_type: Any, raw: Any, key: str) -> Any:
        if not isinstance(raw, dict):
            self._add_fault(key, repr(raw), "a table", "Write it as a table.")
            return None
        return {
            name: self.read(expected_type, item, _join(key, name))
            for name, item in raw.items()
        }

    def _read_scalar(self, expected_type: Any, raw: Any, key: str) -> Any:
        if expected_type is Address:
            return self._read_address(raw, key)
        if expected_type is float and type(raw) is int:
            return float(raw)
        if type(raw) is not expected_type:
            allowed = _NAMES_BY_TYPE[expected_type]
            self._add_fault(key, repr(raw), allowed, f"Set {key} to {allowed}.")
            return None
        return raw

    def _read_address(self, raw: Any, key: str) -> Address | None:
        try:
            return parse_address(str(raw))
        except ValueError as error:
            self._add_fault(
                key,
                f"{raw!r} ({error})",
                '"IP:PORT" with an IP address',
                f"Correct {key}; host names are not resolved.",
            )
            return None

    def _add_unknown_key(self, key: str, name: str, names: list[str]) -> None:
        matches = difflib.get_close_matches(name, names, n=1)
        remedy = f"Did you mean {matches[0]}?" if matches else f"Remove {key}."
        self._add_fault(key, "an unknown key", ", ".join(names), remedy)

    def _add_fault(
        self, key: str, found: str, allowed: str, remedy: str
    ) -> None:
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
