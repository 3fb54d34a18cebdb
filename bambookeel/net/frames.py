"""Frames of peer links: length, hybrid logical clock stamp and message."""

import struct

from bambookeel.core import clocks
from bambookeel.core import messages
from bambookeel.net import codec
from bambookeel.runtime import clock
from bambookeel.runtime import logs

_HEADER = struct.Struct(">IQ")


def encode_frame(message: messages.Message) -> bytes | None:
    """Encodes a message as a frame.

    Args:
        message: The message.

    Returns:
        The frame; None if the other end would not take it. That end would close
        the link, and each one on which the message is sent again.
    """
    body = codec.encode_message(message)
    if len(body) > codec.MAX_MESSAGE_BYTES:
        logs.log_event(
            "message_too_large",
            message=type(message).__name__,
            size=len(body),
        )
        return None
    stamp = clocks.encode_stamp(clock.PROCESS_CLOCK.tick())
    return _HEADER.pack(len(body), stamp) + body


def decode_frames(buffer: bytearray) -> list[messages.Message]:
    """Removes the complete frames from a buffer and decodes them.

    Args:
        buffer: Received bytes, from which complete frames are removed.

    Returns:
        The messages in order.

    Raises:
        codec.CodecError: If a frame is too long or not a valid message.
    """
    decoded: list[messages.Message] = []
    start = 0
    while len(buffer) - start >= _HEADER.size:
        length, stamp = _HEADER.unpack_from(buffer, start)
        if length > codec.MAX_MESSAGE_BYTES:
            raise codec.CodecError(
                f"frame of {length} bytes exceeds the size limit"
            )
        end = start + _HEADER.size + length
        if len(buffer) < end:
            break
        clock.PROCESS_CLOCK.observe(stamp)
        body = bytes(buffer[start + _HEADER.size : end])
        decoded.append(codec.decode_message(body))
        start = end
    if start:
        del buffer[:start]
    return decoded
