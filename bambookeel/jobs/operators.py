"""Handles calls of operators: configurations, upkeep and evacuations."""

from bambookeel.configuration import document as configuration
from bambookeel.jobs import calls
from bambookeel.jobs import commands
from bambookeel.jobs import evacuation_steps
from bambookeel.jobs import evacuations
from bambookeel.jobs import term as term_state

# Maximum number of faults that an answer lists; a document may have any number.
_MAX_FAULTS = 100
# Limit of the name of a data centre, like that of other names.
_MAX_NAME_CHARS = 200


def put_document(
    term: term_state.Term, document: configuration.Document
) -> calls.Answer:
    """Puts a configuration in force if it is valid and newer.

    Args:
        term: State of the leader's term.
        document: Configuration that was submitted.

    Returns:
        `Invalid` with the faults, or `Done`, also for a version that is not
        newer and changes nothing.
    """
    found = configuration.find_faults(document)
    if found:
        first = [(f.place, f.message) for f in found[:_MAX_FAULTS]]
        if len(found) > _MAX_FAULTS:
            first.append(("", f"{len(found) - _MAX_FAULTS} more faults"))
        return calls.Invalid(tuple(first))
    if document.version > term.book.configuration.document.version:
        term.decide(commands.PutConfiguration(document))
        term.log_event("configuration_in_force", version=document.version)
    return calls.Done()


def get_document(
    term: term_state.Term,
) -> calls.Answer:
    """Returns the configuration in force.

    Args:
        term: State of the leader's term.

    Returns:
        The configuration, or `NotStored` before the first one.
    """
    document = term.book.configuration.document
    if not document.version:
        return calls.NotStored("no configuration is in force yet", 500)
    return calls.DocumentIs(document.original)


def start_wave(
    term: term_state.Term, call: calls.StartWave, now: term_state.Now
) -> calls.Answer:
    """Records a wave of upkeep, unless its number is already recorded.

    Args:
        term: State of the leader's term.
        call: Request of the operator.
        now: Current time.

    Returns:
        Always `Done`.
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


def get_wave_state(term: term_state.Term, wave: int) -> calls.Answer:
    """Returns whether a wave of upkeep is complete.

    Args:
        term: State of the leader's term.
        wave: Number of the wave.

    Returns:
        State of the wave, or `NoSuchJob` if it does not exist.
    """
    found = term.book.instances.waves.get(wave)
    if found is None:
        return calls.NoSuchJob()
    return calls.WaveIs(found.is_complete)


def change_evacuation(
    term: term_state.Term,
    call: calls.BeginEvacuation | calls.EndEvacuation,
    now: term_state.Now,
) -> calls.Answer:
    """Begins or ends the evacuation of a data centre.

    Args:
        term: State of the leader's term.
        call: Order of the operator.
        now: Current time.

    Returns:
        `Done`, also if nothing changes, or the refusal.
    """
    name = call.data_centre
    if not 0 < len(name) <= _MAX_NAME_CHARS:
        return calls.BadRequest("no data centre has a name of this length")
    records = term.book.instances
    if not evacuations.is_known(name, records, term.settings.data_centres):
        return calls.UnknownDataCentre()
    is_begin = isinstance(call, calls.BeginEvacuation)
    if is_begin == (name in records.evacuations):
        return calls.Done()
    # The pools are measured again before any of them counts as having others.
    term.pool_states = {}
    term.instances_checked_ms = 0
    if is_begin:
        term.decide(commands.BeginEvacuation(name, now.wall_ms))
        term.log_event("evacuation_begun", data_centre=name)
        evacuation_steps.withdraw_gangs(term)
        return calls.Done()
    lasted_ms = now.wall_ms - records.evacuations[name]
    term.decide(commands.EndEvacuation(name))
    term.log_event("evacuation_ended", data_centre=name, lasted_ms=lasted_ms)
    return calls.Done()


def list_evacuations(term: term_state.Term) -> calls.Answer:
    """Lists the evacuations in force.

    Args:
        term: State of the leader's term.

    Returns:
        The data centres, in the order in which their evacuations began.
    """
    begun = term.book.instances.evacuations
    return calls.EvacuationsAre(tuple(begun.items()))
