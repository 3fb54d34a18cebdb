"""Moving averages of service times.

The queue's estimates of waiting and the first charge of a start come from what
requests really took, never from what was declared.
"""

import dataclasses

# Part of a new sample in the average once there are enough samples.
_SMOOTHING_FACTOR = 0.1
# Part by which the shortest sample follows longer ones.
_SHORTEST_SMOOTHING = 0.05
# What a request is taken to need before any has ended.
INITIAL_ESTIMATE_MS = 100.0


@dataclasses.dataclass(slots=True)
class MovingAverage:
    """A moving average that starts as a plain mean.

    Attributes:
        value_ms: The average.
        samples: Samples taken, at least.
        shortest_ms: The shortest recent time of an answered request; 0 before
            any was answered.
    """

    value_ms: float = INITIAL_ESTIMATE_MS
    samples: int = 0
    shortest_ms: float = 0.0


def add_sample(average: MovingAverage, sample_ms: float) -> None:
    """Takes one sample in.

    Args:
        average: The average.
        sample_ms: The sample.
    """
    average.samples += 1
    weight = max(_SMOOTHING_FACTOR, 1.0 / average.samples)
    average.value_ms += weight * (sample_ms - average.value_ms)


def update_shortest(average: MovingAverage, used_ms: float) -> None:
    """Follows the shortest recent time of answered requests.

    Args:
        average: The average of the same requests.
        used_ms: What an answered request took.
    """
    if not average.shortest_ms or used_ms < average.shortest_ms:
        average.shortest_ms = used_ms
        return
    rise_ms = used_ms - average.shortest_ms
    average.shortest_ms += _SHORTEST_SMOOTHING * rise_ms
