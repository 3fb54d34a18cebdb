"""What is on record of instances: pools' sizes, orders, waves of upkeep."""

import dataclasses

from bambookeel.jobs import book_records
from bambookeel.jobs import commands


@dataclasses.dataclass(slots=True)
class InstanceRecords:
    """What is on record of instances.

    Attributes:
        waves: Waves of upkeep by number.
        base_sizes: Instances of each pool before any of them was moved.
        ordered_wall_ms: When each was last ordered from the provider.
    """

    waves: dict[int, book_records.Wave] = dataclasses.field(
        default_factory=dict
    )
    base_sizes: dict[str, int] = dataclasses.field(default_factory=dict)
    ordered_wall_ms: dict[str, int] = dataclasses.field(default_factory=dict)


def apply_to_instances(
    records: InstanceRecords, command: commands.Command
) -> None:
    """Applies one command, if it is about instances.

    Args:
        records: The records, which are changed.
        command: The command.
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
