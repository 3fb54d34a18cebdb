"""Bounds what the answer to a worker's report may weigh on the wire.

Load pattern: thousands of runs with long specifications are assigned to one
worker, or thousands must stop at once. A worker drops an answer that is too
large or arrives too late as a whole, so that the same orders would be repeated
for ever, and extends no lease. What does not fit follows with later answers.
"""

import msgspec

# Maximum size of the orders to start runs in one answer. An answer must arrive
# within a second of the report, over two links of 2 Mbit/s at worst.
MAX_START_BYTES = 64 * 1024
# Maximum number of runs that one answer stops, and that it sets the pace of.
MAX_STOPS = 500
MAX_PACES = 300
# Maximum size of a job's body, and of a checkpoint that is kept. Workers take
# answers of up to 4 MiB; an order that exceeds the maximum above goes alone.
MAX_BODY_BYTES = 2 * 1024 * 1024
MAX_CHECKPOINT_BYTES = 1024 * 1024
# Maximum size of the orders that start a gang. They go with successive answers,
# and members that have started wait for the others for some seconds only.
MAX_GANG_BYTES = 4 * 1024 * 1024
# Size of an order without its texts: names, numbers and punctuation.
_ROW_BYTES = 80


def measure_text(text: str) -> int:
    """Measures a text as part of an answer, where some characters grow.

    Args:
        text: The text.

    Returns:
        Size in bytes as JSON.
    """
    return len(msgspec.json.encode(text))


def measure_start(body_bytes: int, saved: str = "", ticket: str = "") -> int:
    """Measures an order to start a run.

    Args:
        body_bytes: Size of the job's body, by `measure_text`.
        saved: Checkpoint from which the run resumes.
        ticket: The advisor's approval.

    Returns:
        Size in bytes.
    """
    return _ROW_BYTES + body_bytes + measure_text(saved) + measure_text(ticket)
