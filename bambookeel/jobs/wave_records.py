"""Applies commands to the waves of upkeep that are on record."""

from bambookeel.jobs import book_records
from bambookeel.jobs import commands


def apply_to_waves(
    waves: dict[int, book_records.Wave], command: commands.Command
) -> None:
    """Applies one command, if it is about a wave.

    Args:
        waves: The waves by number, which are changed.
        command: The command.
    """
    match command:
        case commands.StartWave():
            if command.wave not in waves:
                names = dict.fromkeys(command.instances)
                waves[command.wave] = book_records.Wave(command, names)
        case commands.UpkeepAsked(wave, instance):
            waves[wave].waiting.pop(instance, None)
            waves[wave].ordered[instance] = None
        case commands.UpkeepEnded(wave, instance):
            waves[wave].waiting.pop(instance, None)
            waves[wave].ordered.pop(instance, None)
