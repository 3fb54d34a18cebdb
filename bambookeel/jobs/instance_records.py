"""Replicated records of instances: pools, orders, upkeep and evacuations."""

import dataclasses

from bambookeel.jobs import book_records
from bambookeel.jobs import commands
from bambookeel.jobs import specs

# A report is not delayed for longer than this.
_KEEP_ENDED_MS = 60_000
# Maximum number of data centres whose evacuation has ended that are kept; more
# than a deployment has.
_MAX_FORMER = 100


@dataclasses.dataclass(slots=True)
class InstanceRecords:
    """Records of instances that all replicas hold.

    Attributes:
        waves: Waves of upkeep by number.
        base_sizes: Number of instances in each pool before the first move.
        ordered_wall_ms: Unix time in milliseconds of the last order to the
            provider for each instance.
        ended_workers: Last incarnation of each worker that is known to have
            ended: Unix time in milliseconds of its start and of its end.
        evacuations: Data centres whose evacuation is in force, with the Unix
            time in milliseconds of its begin.
        former_evacuations: Data centres whose evacuation has ended, the last
            ones at the end.
    """

    waves: dict[int, book_records.Wave] = dataclasses.field(
        default_factory=dict
    )
    base_sizes: dict[str, int] = dataclasses.field(default_factory=dict)
    ordered_wall_ms: dict[str, int] = dataclasses.field(default_factory=dict)
    ended_workers: dict[str, tuple[int, int]] = dataclasses.field(
        default_factory=dict
    )
    evacuations: dict[str, int] = dataclasses.field(default_factory=dict)
    former_evacuations: dict[str, None] = dataclasses.field(
        default_factory=dict
    )

    def has_ended(self, life: specs.WorkerIncarnation, at_wall_ms: int) -> bool:
        """Returns whether an incarnation of a worker has ended lately.

        Args:
            life: Incarnation of the worker.
            at_wall_ms: Unix time in milliseconds.

        Returns:
            True if it or a later one of the same id has ended.
        """
        ended = self.ended_workers.get(life.worker)
        if ended is None or at_wall_ms - ended[1] >= _KEEP_ENDED_MS:
            return False
        return life.born_wall_ms <= ended[0]

    def record_ended(
        self, life: specs.WorkerIncarnation, at_wall_ms: int
    ) -> None:
        """Records that a worker has ended, and forgets those of long ago.

        Args:
            life: Incarnation of the worker.
            at_wall_ms: Unix time in milliseconds.
        """
        if not self.has_ended(life, at_wall_ms):
            self.ended_workers[life.worker] = (life.born_wall_ms, at_wall_ms)
        self.ended_workers = {
            worker: ended
            for worker, ended in self.ended_workers.items()
            if at_wall_ms - ended[1] < _KEEP_ENDED_MS
        }

    def end_evacuation(self, data_centre: str) -> None:
        """Ends an evacuation, if it is in force.

        Args:
            data_centre: Name of the data centre.
        """
        if self.evacuations.pop(data_centre, None) is None:
            return
        self.former_evacuations.pop(data_centre, None)
        self.former_evacuations[data_centre] = None
        while len(self.former_evacuations) > _MAX_FORMER:
            del self.former_evacuations[next(iter(self.former_evacuations))]


def apply_to_instances(
    records: InstanceRecords, command: commands.Command
) -> None:
    """Applies a command that concerns instances; ignores all others.

    Args:
        records: The records, which are changed.
        command: A committed command.
    """
    waves = records.waves
    match command:
        case commands.RecordOrder(instance, at_wall_ms):
            records.ordered_wall_ms[instance] = at_wall_ms
        case commands.WorkerEnded(life, at_wall_ms):
            records.record_ended(life, at_wall_ms)
        case commands.BeginEvacuation(data_centre, at_wall_ms):
            records.evacuations.setdefault(data_centre, at_wall_ms)
        case commands.EndEvacuation(data_centre):
            records.end_evacuation(data_centre)
        case commands.RecordPoolSizes(sizes):
            records.base_sizes = dict(sizes)
        case commands.StartWave():
            if command.wave not in waves:
                names = dict.fromkeys(command.instances)
                waves[command.wave] = book_records.Wave(command, names)
        case commands.UpkeepOrdered(wave, instance):
            waves[wave].waiting.pop(instance, None)
            waves[wave].ordered[instance] = None
        case commands.UpkeepEnded(wave, instance):
            waves[wave].waiting.pop(instance, None)
            waves[wave].ordered.pop(instance, None)
