"""State of the waits for a place near data or group, in a leader's term."""

from collections.abc import Container
import dataclasses
import enum

from bambookeel.jobs import specs


class Reason(enum.Enum):
    """What a task or a gang waits to be near to."""

    DATA = "near_data"
    GROUP = "near_group"


class Outcome(enum.Enum):
    """How a wait has ended.

    It is paid if the place is near and came within the time that a remote place
    would have lost; late if it is near and came after that.
    """

    PAID = "paid"
    LATE = "late"
    ELSEWHERE = "elsewhere"
    CLOSED = "closed"


@dataclasses.dataclass(slots=True)
class Wait:
    """A task, or a gang, that waits for a place near its data or group.

    Attributes:
        waited_ms: Time in milliseconds that it has lasted, without that in
            which there was no room anywhere.
        noted_ms: Steady-clock time in milliseconds up to which that is counted.
        reason: What it waits for.
        rack: Rack in which there should be room first.
        tasks: Number of tasks; 1 unless it is a gang.
        loss_ms: Time that a remote place loses, in milliseconds.
        forecast_ms: Time until there should be room, by the last plan.
        is_current: Whether the last plan let it wait; otherwise there was no
            room anywhere.
    """

    waited_ms: int
    noted_ms: int
    reason: Reason
    rack: str
    tasks: int
    loss_ms: float
    forecast_ms: float
    is_current: bool = True

    def measure_ms(self, now_ms: int) -> int:
        """Measures for how long it has lasted.

        Args:
            now_ms: Steady-clock time in milliseconds.

        Returns:
            Time in milliseconds.
        """
        if not self.is_current:
            return self.waited_ms
        return self.waited_ms + now_ms - self.noted_ms


@dataclasses.dataclass(slots=True)
class EndedWaits:
    """Waits that have ended.

    Attributes:
        tasks: Number of their tasks.
        waited_ms: Sum of the time that these waited, in milliseconds.
    """

    tasks: int = 0
    waited_ms: int = 0


@dataclasses.dataclass(slots=True)
class PlaceWaits:
    """Waits of a term.

    Attributes:
        began_ms: Steady-clock time in milliseconds at which the term began.
        waits: Waits by service and task; that of a gang by its first task.
        remote_runs: Runs that were placed away from their data or group.
        ended: Ended waits that have not been counted yet, by outcome.
        logged_ms: Steady-clock time in milliseconds from which log lines are
            counted.
        lines: Number of log lines since then.
    """

    began_ms: int
    waits: dict[str, dict[specs.TaskRef, Wait]] = dataclasses.field(
        default_factory=dict
    )
    remote_runs: set[tuple[specs.TaskRef, int]] = dataclasses.field(
        default_factory=set
    )
    ended: dict[Outcome, EndedWaits] = dataclasses.field(default_factory=dict)
    logged_ms: int = 0
    lines: int = 0

    def discard_dropped(self, jobs: Container[str]) -> None:
        """Removes the data of jobs that are no longer in the book.

        Args:
            jobs: Ids of the jobs in the book.
        """
        self.remote_runs = {
            key for key in self.remote_runs if key[0].job in jobs
        }

    def take_ended(self) -> dict[Outcome, EndedWaits]:
        """Takes the ended waits that have not been counted yet.

        Returns:
            Ended waits by outcome.
        """
        ended = self.ended
        self.ended = {}
        return ended
