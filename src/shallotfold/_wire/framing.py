"""Cut a byte stream into frames of bounded size.

A frame is its length in four bytes, most significant first, and its content.
"""

import asyncio
import struct

from shallotfold._errors import FrameError

MAX_FRAME_BYTES = 256 * 1024
_LENGTH = struct.Struct(">I")


def encode_frame(content: bytes) -> bytes:
    """Return a content with its length in front.

    Raises:
        FrameError: The content is over `MAX_FRAME_BYTES`.
    """
    if len(content) > MAX_FRAME_BYTES:
        raise FrameError(
            f"a message has {len(content)} bytes, over {MAX_FRAME_BYTES}; "
            "split it"
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
            f"a frame of {length} bytes is over {max_bytes}; "
            "check what connects to the peer port"
        )
    return await reader.readexactly(length)
