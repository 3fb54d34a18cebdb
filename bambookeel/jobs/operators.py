"""Answers operators: configurations and waves of upkeep."""

from bambookeel.configuration import document as configuration
from bambookeel.jobs import calls
from bambookeel.jobs import commands
from bambookeel.jobs import term as term_state


def put_document(
    term: term_state.Term, document: configuration.Document
) -> calls.Answer:
    """Puts a configuration in force if it is valid and newer.

    Args:
        term: The leader's term.
        document: The configuration.

    Returns:
        The answer.
    """
    found = configuration.find_faults(document)
    if found:
        return calls.Invalid(tuple((f.place, f.message) for f in found))
    if document.version > term.book.configuration.document.version:
        term.decide(commands.PutConfiguration(document))
        term.log_event("configuration_in_force", version=document.version)
    return calls.Done()


def get_document(
    term: term_state.Term,
) -> calls.Answer:
    """Gives the configuration in force.

    Args:
        term: The leader's term.

    Returns:
        The answer.
    """
    document = term.book.configuration.document
    if not document.version:
        return calls.NotStored("no configuration is in force yet", 500)
    return calls.DocumentIs(document.original)


def start_wave(
    term: term_state.Term, call: calls.StartWave, now: term_state.Now
) -> calls.Answer:
    """Puts a wave of upkeep on record.

    Args:
        term: The leader's term.
        call: The call.
        now: The time.

    Returns:
        The answer.
    """
    if call.wave not in term.book.instances.waves:
        term.decide(
            commands.StartWave(
                call.wave,
                call.instances,
                call.duration_ms,
                call.max_at_once,
                now.wall_ms,
            )
        )
    return calls.Done()


def ask_wave(term: term_state.Term, wave: int) -> calls.Answer:
    """Tells whether a wave is complete.

    Args:
        term: The leader's term.
        wave: Its number.

    Returns:
        The answer.
    """
    found = term.book.instances.waves.get(wave)
    if found is None:
        return calls.NoSuchJob()
    return calls.WaveIs(found.is_complete)
