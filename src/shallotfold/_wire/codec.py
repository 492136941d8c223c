"""Encode typed messages as msgpack, and decode only valid ones.

A message is `[TYPE_NAME, [FIELD, ...]]`. Fields are in the order of the class;
trailing ones may be missing if they have defaults. The only coercion is from
integer to float: a string that contains a number is malformed.
"""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import get_args
from typing import get_origin

import attrs
from cattrs.gen import make_dict_structure_fn
from cattrs.gen import make_dict_unstructure_fn
from cattrs.preconf.msgpack import MsgpackConverter
from cattrs.preconf.msgpack import make_converter
import msgpack

from shallotfold._errors import FrameError
from shallotfold._wire.messages import ALL_MESSAGES

_ALLOWED_TYPES_BY_SCALAR: dict[type, tuple[type, ...]] = {
    int: (int,),
    float: (float, int),
    str: (str,),
    bool: (bool,),
    bytes: (bytes,),
}


class MessageCodec:
    """Encode and decode a closed set of message classes."""

    def __init__(self, message_types: Sequence[type]) -> None:
        self._types_by_name = {cls.__name__: cls for cls in message_types}
        self._converter = _make_converter()

    def encode(self, message: Any) -> bytes:
        """Encode a message of one of the classes."""
        content = self._converter.unstructure(message)
        encoded: bytes = msgpack.packb([type(message).__name__, content])
        return encoded

    def decode(self, data: bytes) -> Any:
        """Decode a message of one of the classes.

        Raises:
            FrameError: The bytes are not a valid message of these classes.
        """
        try:
            name, content = msgpack.unpackb(data)
            return self._converter.structure(content, self._types_by_name[name])
        except Exception as error:
            # msgpack and cattrs raise many kinds of errors for malformed bytes.
            raise FrameError(
                f"{len(data)} bytes are not a known message "
                f"({type(error).__name__}); run the same version on all entries"
            ) from error


def _make_converter() -> MsgpackConverter:
    converter = make_converter()
    for scalar, allowed in _ALLOWED_TYPES_BY_SCALAR.items():
        converter.register_structure_hook(scalar, _make_scalar_hook(allowed))
    converter.register_structure_hook_factory(
        _is_variadic_tuple, lambda cls: _make_tuple_hook(converter, cls)
    )
    converter.register_structure_hook_factory(
        attrs.has, lambda cls: _make_structure_hook(converter, cls)
    )
    converter.register_unstructure_hook_factory(
        attrs.has, lambda cls: _make_unstructure_hook(converter, cls)
    )
    return converter


def _make_scalar_hook(
    allowed: tuple[type, ...],
) -> Callable[[Any, Any], Any]:
    def structure(value: Any, cls: Any) -> Any:
        # Not `isinstance`, because a boolean is also an integer.
        if type(value) not in allowed:
            raise TypeError(
                f"expected {cls.__name__}, got {type(value).__name__}"
            )
        return float(value) if cls is float else value

    return structure


def _is_variadic_tuple(cls: Any) -> bool:
    return get_origin(cls) is tuple and get_args(cls)[1:] == (...,)


def _make_tuple_hook(
    converter: MsgpackConverter, cls: Any
) -> Callable[[Any, Any], Any]:
    item_type = get_args(cls)[0]

    def structure(value: Any, _: Any) -> Any:
        if type(value) is not list:
            raise TypeError(f"expected list, got {type(value).__name__}")
        return tuple(converter.structure(item, item_type) for item in value)

    return structure


def _make_structure_hook(
    converter: MsgpackConverter, cls: Any
) -> Callable[[Any, Any], Any]:
    from_fields = make_dict_structure_fn(cls, converter)
    names = [field.name for field in attrs.fields(cls)]

    def structure(value: Any, _: Any) -> Any:
        if type(value) is not list or len(value) > len(names):
            raise TypeError(
                f"{cls.__name__} needs a list of at most {len(names)} fields"
            )
        return from_fields(dict(zip(names, value, strict=False)), cls)

    return structure


def _make_unstructure_hook(
    converter: MsgpackConverter, cls: Any
) -> Callable[[Any], Any]:
    to_fields = make_dict_unstructure_fn(cls, converter)

    def unstructure(message: Any) -> list[Any]:
        return list(to_fields(message).values())

    return unstructure


PEER_CODEC = MessageCodec(ALL_MESSAGES)
