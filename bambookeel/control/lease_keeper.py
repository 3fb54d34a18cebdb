"""Decides which entry holds the dispatch lease of each service.

The leader of control passes in the entries' heartbeats and gets the leases to
renew and the assignments to commit; this module does no I/O and reads no clock.
A service gets a new holder only once any lease on it that a former leader may
have renewed has ended, so the leases of two holders never overlap.
"""

import dataclasses

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import resources
from bambookeel.state import commands
from bambookeel.state import model


@dataclasses.dataclass(slots=True)
class LeaseKeeper:
    """What the leader knows about entries and their leases.

    Attributes:
        lease_ms: Duration of a dispatch lease.
        silence_limit_ms: Time without a heartbeat after which an entry is
            assigned no service.
        leader_since_ms: When this process became the leader; None while it is
            not the leader.
        last_heartbeat_ms: Time of each entry's last heartbeat.
        stopping: Entries that are about to stop.
        lease_until_ms: Latest end of the current holder's lease, by service.
        released: Epochs that their holder has released, by service.
        superseded: Epochs whose successor has been proposed, by service; their
            leases are never renewed again.
        term: The term that this process leads.
    """

    lease_ms: int
    silence_limit_ms: int
    leader_since_ms: int | None = None
    last_heartbeat_ms: dict[ids.ProcessId, int] = dataclasses.field(
        default_factory=dict
    )
    stopping: set[ids.ProcessId] = dataclasses.field(default_factory=set)
    lease_until_ms: dict[ids.ServiceName, int] = dataclasses.field(
        default_factory=dict
    )
    released: dict[ids.ServiceName, ids.Epoch] = dataclasses.field(
        default_factory=dict
    )
    superseded: dict[ids.ServiceName, ids.Epoch] = dataclasses.field(
        default_factory=dict
    )
    term: ids.Term = ids.Term(0)


def start_term_if_new(keeper: LeaseKeeper, term: ids.Term, now_ms: int) -> None:
    """Starts a leader's term on the first call in it.

    Called whenever this process acts as the leader, within its own lease. From
    then on no earlier leader can renew a lease, so the wait for the leases that
    it has renewed counts from the first call in a term.

    Args:
        keeper: Updated in place.
        term: The term that this process leads.
        now_ms: Current time on the leader's monotonic clock.
    """
    if keeper.leader_since_ms is None or keeper.term != term:
        become_leader(keeper, term, now_ms)


def become_leader(keeper: LeaseKeeper, term: ids.Term, now_ms: int) -> None:
    """Starts a leader's term without knowledge of earlier leases.

    Args:
        keeper: Cleared in place.
        term: The term that this process leads.
        now_ms: Current time on the leader's monotonic clock.
    """
    keeper.term = term
    keeper.superseded.clear()
    keeper.leader_since_ms = now_ms
    keeper.last_heartbeat_ms.clear()
    keeper.stopping.clear()
    keeper.lease_until_ms.clear()
    keeper.released.clear()


def lose_leadership(keeper: LeaseKeeper) -> None:
    """Ends a leader's term.

    Args:
        keeper: Updated in place.
    """
    keeper.leader_since_ms = None


def handle_heartbeat(
    keeper: LeaseKeeper,
    state: model.State,
    entry: ids.ProcessId,
    heartbeat: messages.EntryHeartbeat,
    now_ms: int,
) -> tuple[messages.HeldLease, ...]:
    """Records an entry's heartbeat and renews its leases.

    Args:
        keeper: Updated in place.
        state: The replicated state.
        entry: Process id of the entry.
        heartbeat: The received heartbeat.
        now_ms: Current time on the leader's monotonic clock.

    Returns:
        The renewed leases; released and superseded ones are left out.
    """
    keeper.last_heartbeat_ms[entry] = now_ms
    if heartbeat.stopping:
        keeper.stopping.add(entry)
    else:
        keeper.stopping.discard(entry)
    renewed = []
    for lease in heartbeat.held:
        spec = _get_assignment(state, lease.service)
        if spec is None or spec.holder != entry or spec.epoch != lease.epoch:
            continue
        if lease.released:
            keeper.released[lease.service] = lease.epoch
            continue
        if keeper.released.get(lease.service) == lease.epoch:
            continue
        if keeper.superseded.get(lease.service) == lease.epoch:
            # A successor may be committed at any moment.
            continue
        keeper.lease_until_ms[lease.service] = now_ms + keeper.lease_ms
        renewed.append(lease)
    return tuple(renewed)


def _get_assignment(
    state: model.State, service: ids.ServiceName
) -> resources.DispatcherSpec | None:
    resource = state.by_key.get((resources.Kind.DISPATCHER, service))
    if resource is None:
        return None
    spec = resource.spec
    return spec if isinstance(spec, resources.DispatcherSpec) else None


def _list_candidates(keeper: LeaseKeeper, now_ms: int) -> list[ids.ProcessId]:
    alive = []
    for entry, last_heartbeat_ms in keeper.last_heartbeat_ms.items():
        if entry in keeper.stopping:
            continue
        if now_ms - last_heartbeat_ms <= keeper.silence_limit_ms:
            alive.append(entry)
    return sorted(alive)


def _may_be_held(
    keeper: LeaseKeeper,
    service: ids.ServiceName,
    spec: resources.DispatcherSpec,
    now_ms: int,
) -> bool:
    """Returns whether a service's holder may still have a valid lease.

    Args:
        keeper: What the leader knows about leases.
        service: Name of the service.
        spec: The service's current assignment.
        now_ms: Current time on the leader's monotonic clock.

    Returns:
        True if another entry must not be assigned yet.
    """
    if not spec.holder:
        return False
    if keeper.released.get(service) == spec.epoch:
        return False
    since_ms = keeper.leader_since_ms or 0
    # A former leader may have renewed the lease until it lost its quorum.
    until_ms = keeper.lease_until_ms.get(service, since_ms + keeper.lease_ms)
    return now_ms < until_ms


def plan_assignments(
    keeper: LeaseKeeper, state: model.State, now_ms: int
) -> tuple[commands.PutSpec, ...]:
    """Assigns services without a holder to the entries that hold the fewest.

    Args:
        keeper: Updated in place.
        state: The replicated state.
        now_ms: Current time on the leader's monotonic clock.

    Returns:
        Changes to commit, each with the version that it expects.
    """
    if keeper.leader_since_ms is None:
        return ()
    candidates = _list_candidates(keeper, now_ms)
    if not candidates:
        return ()
    load = {entry: 0 for entry in candidates}
    unheld_services = []
    for kind, name in sorted(state.by_key, key=lambda key: key[1]):
        if kind is not resources.Kind.SERVICE:
            continue
        service = ids.ServiceName(name)
        spec = _get_assignment(state, service)
        if spec is not None and _may_be_held(keeper, service, spec, now_ms):
            holder = ids.ProcessId(spec.holder)
            if holder in load:
                load[holder] += 1
            continue
        unheld_services.append(service)
    planned = []
    for service in unheld_services:
        holder = min(candidates, key=lambda entry: (load[entry], entry))
        load[holder] += 1
        planned.append(_build_assignment(state, service, holder))
        spec = _get_assignment(state, service)
        if spec is not None:
            keeper.superseded[service] = ids.Epoch(spec.epoch)
        # The new holder has the duration of a lease to send its first report.
        keeper.lease_until_ms[service] = now_ms + keeper.lease_ms
    return tuple(planned)


def _build_assignment(
    state: model.State, service: ids.ServiceName, holder: ids.ProcessId
) -> commands.PutSpec:
    current = state.by_key.get((resources.Kind.DISPATCHER, service))
    spec = _get_assignment(state, service)
    epoch = spec.epoch + 1 if spec else 1
    version = current.version if current else commands.MUST_NOT_EXIST
    return commands.PutSpec(
        resources.Kind.DISPATCHER,
        service,
        version,
        {"holder": holder, "epoch": epoch},
    )
