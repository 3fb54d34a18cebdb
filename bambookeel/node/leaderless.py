"""Decides how calls are treated while no leader is known.

Load pattern: every node that can lead is down for some seconds, for example
after a loss of power, while callers go on calling. During a short outage, such
as an election, a call waits for the new leader. In a longer one it is refused
at once, and the delay until the caller's next try grows with the outage, so
that a caller with few tries outlasts it.
"""

# Maximum wait of a call; covers a typical election.
MAX_WAIT_MS = 600
# An outage that has lasted longer is not ended by an election alone.
SHORT_OUTAGE_MS = 1_500
# Bounds of the delay until the next try.
MIN_RETRY_MS = 500
MAX_RETRY_MS = 2_000


def compute_wait_ms(outage_ms: int) -> int:
    """Computes how long a call waits for a leader.

    Args:
        outage_ms: Time since a leader was last known to lead, in milliseconds.

    Returns:
        Milliseconds; 0 if the call is refused at once.
    """
    return MAX_WAIT_MS if outage_ms < SHORT_OUTAGE_MS else 0


def compute_retry_ms(outage_ms: int) -> int:
    """Computes the delay after which a refused caller should try again.

    The longer an outage has lasted, the longer the rest of it is likely to be.

    Args:
        outage_ms: Time since a leader was last known to lead, in milliseconds.

    Returns:
        Milliseconds from now.
    """
    return max(MIN_RETRY_MS, min(MAX_RETRY_MS, outage_ms))
