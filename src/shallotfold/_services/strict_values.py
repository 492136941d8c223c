"""Read the values of JSON from outside without converting any."""

from typing import Any

import cattrs

# Larger whole numbers aren't exact in all programs that read them.
MAX_NUMBER = 2**53


def make_strict_converter() -> cattrs.Converter:
    """Return a converter that accepts only values of the declared types.

    Numbers are finite, not negative and at most `MAX_NUMBER`.
    """
    converter = cattrs.Converter()
    converter.register_structure_hook(bool, _read_flag)
    converter.register_structure_hook(int, _read_whole_number)
    converter.register_structure_hook(float, _read_number)
    converter.register_structure_hook(str, _read_text)
    return converter


def _read_flag(value: Any, _: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError("expected true or false")
    return value


def _read_whole_number(value: Any, _: Any) -> int:
    if type(value) is not int:
        raise ValueError("expected a whole number")
    _check_range(value)
    return value


def _read_number(value: Any, _: Any) -> float:
    if type(value) is not int and type(value) is not float:
        raise ValueError("expected a number")
    _check_range(value)
    return float(value)


def _read_text(value: Any, _: Any) -> str:
    if not isinstance(value, str):
        raise ValueError("expected text")
    return value


def _check_range(value: float) -> None:
    # Comparisons with NaN are false.
    if not 0 <= value <= MAX_NUMBER:
        raise ValueError(f"expected a number from 0 to {MAX_NUMBER}")
