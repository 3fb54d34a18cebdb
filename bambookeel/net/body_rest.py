"""Reads what is left of the body of an answered request.

A client may send its whole body before it reads the answer. If the connection
were closed before, its system could drop the answer.
"""

import typing

import gevent

from bambookeel.net import client_guard

# Time in which the rest must arrive.
_TIMEOUT_S = 3.0
_PART_BYTES = 16_384
# Largest rest that is read after a refusal of the body. The client may send the
# request again if it misses the answer.
_MAX_REFUSED_BYTES = 256 * 1024


def discard(stream: typing.Any, client: client_guard.Client) -> bool:
    """Reads the rest of a body, unless it is long or slow.

    Args:
        stream: Body of the request, as pywsgi's `Input`.
        client: Connection of the client.

    Returns:
        Whether the body has been read to its end; otherwise the connection
        must be closed.
    """
    left = (stream.content_length or 0) - stream.position
    limit = client_guard.LARGE_BYTES
    if client.is_refused:
        limit = _MAX_REFUSED_BYTES
    if not stream.chunked_input and left > limit:
        return False
    client.release()
    client.begin(client_guard.Phase.RECEIVING)
    stream.send_100_continue_enabled = False
    try:
        with gevent.Timeout(_TIMEOUT_S, False):
            while limit > 0:
                data = stream.read(min(_PART_BYTES, limit))
                if not data:
                    return True
                limit -= len(data)
                # A fast sender would keep other tasks from running.
                gevent.sleep(0)
    except (OSError, ValueError):
        return False
    return False
