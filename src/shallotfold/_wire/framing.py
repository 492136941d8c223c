"""Split a byte stream into frames of bounded size.

A frame is the length of its content in four bytes, big-endian, and the content.
"""

import asyncio
import struct

from shallotfold._errors import FrameError

MAX_FRAME_BYTES = 256 * 1024
_LENGTH = struct.Struct(">I")


def encode_frame(content: bytes) -> bytes:
    """Prefix content with its length.

    Raises:
        FrameError: The content is longer than `MAX_FRAME_BYTES`.
    """
    if len(content) > MAX_FRAME_BYTES:
        raise FrameError(
            f"a message has {len(content)} bytes; the maximum is "
            f"{MAX_FRAME_BYTES}; split it"
        )
    return _LENGTH.pack(len(content)) + content


async def read_frame(
    reader: asyncio.StreamReader, max_bytes: int = MAX_FRAME_BYTES
) -> bytes:
    """Read the content of the next frame.

    Raises:
        FrameError: The frame is longer than `max_bytes`.
        asyncio.IncompleteReadError: The stream ended.
        OSError: The connection broke.
    """
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if length > max_bytes:
        raise FrameError(
            f"a frame has {length} bytes; the maximum is {max_bytes}; "
            "check what connects to the peer port"
        )
    return await reader.readexactly(length)
