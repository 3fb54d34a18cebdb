"""Bounds the memory for frames that other processes have not sent completely.

Anyone can connect to the port for other processes. The first frame of a
connection, which names the process, must be small; a large later frame is read
on only once its bytes are reserved.
"""

import struct

from bambookeel.net import byte_pools
from bambookeel.net import client_guard

_LENGTH = struct.Struct(">I")


class FrameRoom:
    """The reservation for the frame that arrives on one connection."""

    def __init__(self, client: client_guard.Client) -> None:
        self._client = client
        self._held: byte_pools.Reservation | None = None

    def reserve(self, received: bytearray) -> bool:
        """Reserves the bytes of a large frame; may wait for them.

        Args:
            received: Bytes of the frame that have arrived, if any.

        Returns:
            Whether the frame may be read further.
        """
        client = self._client
        client.begin(client_guard.Phase.IDLE)
        length = 0
        if len(received) >= _LENGTH.size:
            length = _LENGTH.unpack_from(received)[0]
        if self._held is not None:
            if self._held.need == length:
                self._held.note_progress(len(received))
                return True
            client.release(self._held)
            self._held = None
        if length <= client_guard.SMALL_BYTES:
            return True
        if not client.requests:
            client.close("first_frame_too_large")
            return False
        self._held = client.reserve("peers", length)
        return self._held is not None
