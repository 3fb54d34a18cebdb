"""Moving averages of service times.

Wait estimates of the queue and the initial charge of a request are computed
from measured times, never from declared ones.
"""

import dataclasses

# Weight of a new sample once there are at least 10 samples.
_SMOOTHING_FACTOR = 0.1
# Fraction by which the shortest time moves towards each longer sample.
_SHORTEST_SMOOTHING = 0.05
# Assumed time of a request before any request has ended.
INITIAL_ESTIMATE_MS = 100.0


@dataclasses.dataclass(slots=True)
class MovingAverage:
    """An exponential moving average that starts as an arithmetic mean.

    Attributes:
        value_ms: The current average.
        samples: Number of samples added.
        shortest_ms: The shortest recent time of an answered request; 0 before
            any was answered.
    """

    value_ms: float = INITIAL_ESTIMATE_MS
    samples: int = 0
    shortest_ms: float = 0.0


def add_sample(average: MovingAverage, sample_ms: float) -> None:
    """Adds one sample to the average.

    Args:
        average: The average, updated in place.
        sample_ms: The sample.
    """
    average.samples += 1
    weight = max(_SMOOTHING_FACTOR, 1.0 / average.samples)
    average.value_ms += weight * (sample_ms - average.value_ms)


def update_shortest(average: MovingAverage, used_ms: float) -> None:
    """Updates the shortest recent time with an answered request.

    Args:
        average: The average of the same requests.
        used_ms: Time in ms that the answered request used its slot.
    """
    if not average.shortest_ms or used_ms < average.shortest_ms:
        average.shortest_ms = used_ms
        return
    rise_ms = used_ms - average.shortest_ms
    average.shortest_ms += _SHORTEST_SMOOTHING * rise_ms
