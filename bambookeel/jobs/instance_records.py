"""Replicated records of instances: pool sizes, orders and upkeep waves."""

import dataclasses

from bambookeel.jobs import book_records
from bambookeel.jobs import commands


@dataclasses.dataclass(slots=True)
class InstanceRecords:
    """Records of instances that all replicas hold.

    Attributes:
        waves: Waves of upkeep by number.
        base_sizes: Number of instances in each pool before the first move.
        ordered_wall_ms: Unix time in milliseconds of the last order to the
            provider for each instance.
    """

    waves: dict[int, book_records.Wave] = dataclasses.field(
        default_factory=dict
    )
    base_sizes: dict[str, int] = dataclasses.field(default_factory=dict)
    ordered_wall_ms: dict[str, int] = dataclasses.field(default_factory=dict)


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
