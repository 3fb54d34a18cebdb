"""The cells of the fault matrix: which fault hits which process, and when.

The fault of a cell is a function that injects it into a `ProofRun`. The cells
in `features/processes/quick.feature` give stable results and run in CI.
"""

from collections.abc import Callable
import dataclasses

from dev import proof_run

InjectFault = Callable[[proof_run.ProofRun], None]
_FREEZE_S = 4.0
_CUT_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """One cell of the fault matrix.

    Attributes:
        fault: Name of the fault.
        role: Role of the processes that it hits.
        step: Situation in which it happens.
        inject: Injects the fault.
        expects_recovery: Whether goodput must recover within its bound.
    """

    fault: str
    role: str
    step: str
    inject: InjectFault
    expects_recovery: bool = True

    def get_name(self) -> str:
        """Returns the name that `--only` matches."""
        return f"{self.fault}/{self.role}/{self.step}"


FindProcess = Callable[[proof_run.ProofRun], str]
BuildFault = Callable[[FindProcess], InjectFault]


def _find_holder(run: proof_run.ProofRun) -> str:
    return run.find_holder(run.deployment.shape.services[0])


_ROLES: tuple[tuple[str, FindProcess], ...] = (
    ("entry", lambda run: run.find_entry_without_lease()),
    ("dispatcher", _find_holder),
    ("control-leader", lambda run: run.find_leader()),
    ("control-follower", lambda run: run.find_follower()),
)


def _kill(find_process: FindProcess) -> InjectFault:
    def inject(run: proof_run.ProofRun) -> None:
        run.kill(find_process(run))

    return inject


def _kill_and_restart(find_process: FindProcess) -> InjectFault:
    def inject(run: proof_run.ProofRun) -> None:
        name = find_process(run)
        run.kill(name)
        run.pause(1.0)
        run.start(name)
        run.pause(2.0)

    return inject


def _kill_twice(find_process: FindProcess) -> InjectFault:
    def inject(run: proof_run.ProofRun) -> None:
        for _ in range(2):
            name = find_process(run)
            run.kill(name)
            run.start(name)
            run.pause(3.0)

    return inject


def _freeze_and_wake(find_process: FindProcess) -> InjectFault:
    def inject(run: proof_run.ProofRun) -> None:
        name = find_process(run)
        run.freeze(name)
        run.pause(_FREEZE_S)
        run.wake(name)

    return inject


def _build_cut(cut: Callable[[proof_run.ProofRun, str], None]) -> BuildFault:
    """Returns a builder of faults that cut the links of a process for a while.

    Args:
        cut: Cuts the links of a process, in one direction or both.

    Returns:
        A function that builds the fault for a role.
    """

    def build_fault(find_process: FindProcess) -> InjectFault:
        def inject(run: proof_run.ProofRun) -> None:
            name = find_process(run)
            cut(run, name)
            run.pause(_CUT_S)
            run.heal(name)

        return inject

    return build_fault


def _silence_connections(find_process: FindProcess) -> InjectFault:
    def inject(run: proof_run.ProofRun) -> None:
        run.silence(find_process(run))

    return inject


def _stop_and_restart(find_process: FindProcess) -> InjectFault:
    def inject(run: proof_run.ProofRun) -> None:
        name = find_process(run)
        run.stop_gracefully(name)
        run.start(name)
        run.pause(2.0)

    return inject


_FAULTS: tuple[tuple[str, str, BuildFault], ...] = (
    ("kill", "under load", _kill),
    ("kill and restart", "under load", _kill_and_restart),
    ("kill twice", "right after a repair", _kill_twice),
    ("freeze and wake", "under load", _freeze_and_wake),
    ("cut both ways", "under load", _build_cut(proof_run.ProofRun.cut)),
    ("cut outgoing", "under load", _build_cut(proof_run.ProofRun.cut_outgoing)),
    ("cut incoming", "under load", _build_cut(proof_run.ProofRun.cut_incoming)),
    ("silent connections", "under load", _silence_connections),
    ("planned stop", "under load", _stop_and_restart),
)


def _kill_backend(run: proof_run.ProofRun) -> None:
    run.kill("orders-0")


def _freeze_and_wake_backend(run: proof_run.ProofRun) -> None:
    run.freeze("orders-0")
    run.pause(_FREEZE_S)
    run.wake("orders-0")


def _kill_and_restart_backend(run: proof_run.ProofRun) -> None:
    run.kill("orders-0")
    run.start("orders-0")
    run.pause(1.0)


def _stop_backend(run: proof_run.ProofRun) -> None:
    run.stop_gracefully("orders-0")


def _announce_backend_leaving(run: proof_run.ProofRun) -> None:
    run.leave("orders-0")


def _silence_backend_connections(run: proof_run.ProofRun) -> None:
    run.silence_backend("orders-0")


def _kill_leader_and_holder(run: proof_run.ProofRun) -> None:
    leader = run.find_leader()
    holder = _find_holder(run)
    run.kill(leader)
    run.kill(holder)
    run.start(leader)
    run.start(holder)
    run.pause(3.0)


def _kill_during_election(run: proof_run.ProofRun) -> None:
    leader = run.find_leader()
    run.kill(leader)
    run.start(leader)
    run.pause(0.3)
    run.kill(run.deployment.entry_names[0])
    run.pause(2.0)


def _kill_leader_after_repair(run: proof_run.ProofRun) -> None:
    first = run.find_follower()
    run.kill(first)
    run.start(first)
    run.pause(1.5)
    run.kill(run.find_leader())
    run.pause(2.0)


def _wipe_disk(run: proof_run.ProofRun) -> None:
    name = run.find_follower()
    run.kill(name)
    run.deployment.remove_data(name)
    run.start(name)
    run.pause(3.0)


def _wipe_leader_disk(run: proof_run.ProofRun) -> None:
    name = run.find_leader()
    run.kill(name)
    run.deployment.remove_data(name)
    run.start(name)
    run.pause(3.0)


def _stop_every_entry(run: proof_run.ProofRun) -> None:
    for name in run.deployment.entry_names:
        run.stop_gracefully(name)
        run.start(name)
        run.deployment.wait_until_ready([name])


def _stop_every_control(run: proof_run.ProofRun) -> None:
    for name in run.deployment.control_names:
        run.stop_gracefully(name)
        run.start(name)
        run.deployment.wait_until_ready([name])


_SINGLE_CELLS = (
    Cell("none", "none", "under load", lambda run: None),
    Cell("kill", "backend", "under load", _kill_backend),
    Cell(
        "kill and restart", "backend", "under load", _kill_and_restart_backend
    ),
    Cell(
        "freeze and wake",
        "backend",
        "under load",
        _freeze_and_wake_backend,
        False,
    ),
    Cell("planned stop", "backend", "under load", _stop_backend),
    Cell("leaving", "backend", "under load", _announce_backend_leaving),
    Cell(
        "silent connections",
        "backend",
        "under load",
        _silence_backend_connections,
        False,
    ),
    Cell(
        "two kills", "leader and dispatcher", "at once", _kill_leader_and_holder
    ),
    Cell(
        "two kills", "leader then entry", "in election", _kill_during_election
    ),
    Cell(
        "two kills",
        "follower then leader",
        "right after a repair",
        _kill_leader_after_repair,
    ),
    Cell("lost disk", "control-follower", "under load", _wipe_disk),
    Cell("lost disk", "control-leader", "under load", _wipe_leader_disk),
    Cell("planned stop", "every entry", "one by one", _stop_every_entry),
    Cell("planned stop", "every control", "one by one", _stop_every_control),
)


def list_cells() -> list[Cell]:
    """Returns all cells in the order of their runs.

    Returns:
        The single cells, then each fault on each role.
    """
    cells = [
        Cell(fault, role, step, build_fault(find_process))
        for fault, step, build_fault in _FAULTS
        for role, find_process in _ROLES
    ]
    return [*_SINGLE_CELLS, *cells]
