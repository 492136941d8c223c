"""Read the fields of JSON documents with their types and ranges."""

from collections.abc import Mapping
import json
from typing import Any
from typing import NoReturn

import attrs

# Absent values of fields that have no default.
_REQUIRED: Any = object()
# Larger whole numbers aren't exact in all programs that read them.
MAX_WHOLE_NUMBER = 2**53


@attrs.frozen
class Fields:
    """The fields of one JSON object; others may have written anything there.

    Each method raises `ValueError` with the name of the field if its value has
    another type or is out of range, or if it is absent and has no default. A
    null counts as absent.

    Attributes:
        value_by_name: The object as it was parsed.
    """

    value_by_name: Mapping[str, Any]
    _path: str = ""

    def has(self, name: str) -> bool:
        """Whether the field is there."""
        return self.value_by_name.get(name) is not None

    def text(self, name: str) -> str:
        """Return text that has at least one character, all of them printable.

        Texts become headers, fields of log lines and names in messages.
        """
        return self._check_text(name, self._get(name))

    def texts(self, name: str) -> list[str]:
        """Return a list of texts."""
        return [self._check_text(name, value) for value in self._list(name)]

    def secrets(self, name: str) -> list[str]:
        """Return a list of texts that no error message has."""
        values = self._list(name)
        for number, value in enumerate(values):
            if not (isinstance(value, str) and value and value.isprintable()):
                self.fail(f"{name}.{number}", "expected printable text")
        return values

    def flag(self, name: str, *, default: bool = _REQUIRED) -> bool:
        """Return true or false."""
        value = self._get(name, default)
        if not isinstance(value, bool):
            self.fail(name, f"expected true or false, not {_show(value)}")
        return value

    def whole_number(
        self,
        name: str,
        default: int = _REQUIRED,
        *,
        minimum: int = 0,
        maximum: int = MAX_WHOLE_NUMBER,
    ) -> int:
        """Return a number that is written without fraction or exponent."""
        value = self._get(name, default)
        if type(value) is not int:
            self.fail(name, f"expected a whole number, not {_show(value)}")
        self._check_range(name, value, minimum, maximum)
        return value

    def number(
        self,
        name: str,
        default: float = _REQUIRED,
        *,
        minimum: float = 0.0,
        maximum: float,
    ) -> float:
        """Return a finite number."""
        return self._check_number(
            name, self._get(name, default), minimum, maximum
        )

    def numbers_by_name(self, name: str, *, maximum: float) -> dict[str, float]:
        """Return an object whose values are numbers; empty if absent."""
        value_by_name = self._get(name, {})
        if not isinstance(value_by_name, dict):
            self.fail(name, f"expected an object, not {_show(value_by_name)}")
        return {
            self._check_text(name, key): self._check_number(
                name, value, 0.0, maximum
            )
            for key, value in value_by_name.items()
        }

    def object(self, name: str) -> "Fields":
        """Return an object; one without fields if absent."""
        return self._check_object(name, self._get(name, {}))

    def objects(self, name: str) -> list["Fields"]:
        """Return a list of objects."""
        return [
            self._check_object(f"{name}.{number}", value)
            for number, value in enumerate(self._list(name))
        ]

    def fail(self, name: str, reason: str) -> NoReturn:
        """Reject the value of a field.

        Raises:
            ValueError: Always.
        """
        raise ValueError(f"{self._path}{name}: {reason}")

    def _get(self, name: str, default: Any = _REQUIRED) -> Any:
        value = self.value_by_name.get(name)
        if value is not None:
            return value
        if default is _REQUIRED:
            self.fail(name, "missing")
        return default

    def _list(self, name: str) -> list[Any]:
        values = self._get(name)
        if not isinstance(values, list):
            # Not shown, since a single secret may be there.
            self.fail(name, "expected a list")
        return values

    def _check_text(self, name: str, value: Any) -> str:
        if not isinstance(value, str):
            self.fail(name, f"expected text, not {_show(value)}")
        if not value or not value.isprintable():
            self.fail(name, f"expected printable text, not {_show(value)}")
        return value

    def _check_number(
        self, name: str, value: Any, minimum: float, maximum: float
    ) -> float:
        if type(value) is not int and type(value) is not float:
            self.fail(name, f"expected a number, not {_show(value)}")
        self._check_range(name, value, minimum, maximum)
        return float(value)

    def _check_range(
        self, name: str, value: float, minimum: float, maximum: float
    ) -> None:
        # Comparisons with NaN are false.
        if not minimum <= value <= maximum:
            self.fail(
                name,
                f"expected {minimum} to {maximum}, not {_show(value)}",
            )

    def _check_object(self, name: str, value: Any) -> "Fields":
        if not isinstance(value, dict):
            self.fail(name, f"expected an object, not {_show(value)}")
        return Fields(value, f"{self._path}{name}.")


def parse_document(document: bytes) -> Fields:
    """Parse a document that is one JSON object.

    Raises:
        ValueError: It is no such document, or nested too deeply.
    """
    try:
        content = json.loads(document)
    except RecursionError as error:
        raise ValueError("the document is nested too deeply") from error
    if not isinstance(content, dict):
        raise ValueError(f"expected an object, not {_show(content)}")
    return Fields(content)


def _show(value: Any) -> str:
    """Return a short text of a value, whatever its size."""
    if isinstance(value, (list, dict)):
        return f"a {type(value).__name__} of {len(value)}"
    if isinstance(value, int) and value.bit_length() > 64:
        return f"a number of {value.bit_length()} bits"
    return repr(value)[:80]
