"""Decides who holds the dispatch lease of each service.

A pure step for control's leader: it takes what entries report and gives the
leases that are renewed and the assignments that should be committed. A lease
that a former leader may have renewed is waited out before another holder is
named, so that two holders never overlap.
"""

import dataclasses

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import resources
from bambookeel.state import commands
from bambookeel.state import model


@dataclasses.dataclass(slots=True)
class LeaseKeeper:
    """What the leader knows of entries and leases.

    Attributes:
        lease_ms: Length of a dispatch lease.
        alive_within_ms: Silence after which an entry gets no lease.
        leader_since_ms: When this process became leader; None while it is not.
        heard_at_ms: When each entry was last heard.
        stopping: Entries that are about to stop.
        lease_until_ms: When the lease of a service's holder ends at the latest.
        released: Epochs that their holder has given up, by service.
        closed: Epochs whose successor has been proposed, by service; they are
            never renewed again.
        term: The term that this process leads.
    """

    lease_ms: int
    alive_within_ms: int
    leader_since_ms: int | None = None
    heard_at_ms: dict[ids.ProcessId, int] = dataclasses.field(
        default_factory=dict
    )
    stopping: set[ids.ProcessId] = dataclasses.field(default_factory=set)
    lease_until_ms: dict[ids.ServiceName, int] = dataclasses.field(
        default_factory=dict
    )
    released: dict[ids.ServiceName, ids.Epoch] = dataclasses.field(
        default_factory=dict
    )
    closed: dict[ids.ServiceName, ids.Epoch] = dataclasses.field(
        default_factory=dict
    )
    term: ids.Term = ids.Term(0)


def start_term_if_new(keeper: LeaseKeeper, term: ids.Term, now_ms: int) -> None:
    """Notes that this process leads a term now.

    Called whenever it acts as leader, within its own lease. Then no earlier
    leader can renew anything any more, so the wait for what it renewed counts
    from the first call of a term.

    Args:
        keeper: The keeper.
        term: The term.
        now_ms: The time.
    """
    if keeper.leader_since_ms is None or keeper.term != term:
        become_leader(keeper, term, now_ms)


def become_leader(keeper: LeaseKeeper, term: ids.Term, now_ms: int) -> None:
    """Starts a leader's term with nothing known of earlier leases.

    Args:
        keeper: The keeper.
        term: The term.
        now_ms: The time.
    """
    keeper.term = term
    keeper.closed.clear()
    keeper.leader_since_ms = now_ms
    keeper.heard_at_ms.clear()
    keeper.stopping.clear()
    keeper.lease_until_ms.clear()
    keeper.released.clear()


def lose_leadership(keeper: LeaseKeeper) -> None:
    """Ends a leader's term.

    Args:
        keeper: The keeper.
    """
    keeper.leader_since_ms = None


def handle_heartbeat(
    keeper: LeaseKeeper,
    state: model.State,
    entry: ids.ProcessId,
    heartbeat: messages.EntryHeartbeat,
    now_ms: int,
) -> tuple[messages.HeldLease, ...]:
    """Takes in an entry's heartbeat and renews its leases.

    Args:
        keeper: The keeper of the leader.
        state: The replicated state.
        entry: The entry.
        heartbeat: What it reports.
        now_ms: The time.

    Returns:
        The renewed leases.
    """
    keeper.heard_at_ms[entry] = now_ms
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
        if keeper.closed.get(lease.service) == lease.epoch:
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
    for entry, heard_at_ms in keeper.heard_at_ms.items():
        if entry in keeper.stopping:
            continue
        if now_ms - heard_at_ms <= keeper.alive_within_ms:
            alive.append(entry)
    return sorted(alive)


def _is_held(
    keeper: LeaseKeeper,
    service: ids.ServiceName,
    spec: resources.DispatcherSpec,
    now_ms: int,
) -> bool:
    """Tells whether a service's holder may still use its lease.

    Args:
        keeper: The keeper of the leader.
        service: The service.
        spec: Its assignment.
        now_ms: The time.

    Returns:
        Whether another holder must wait.
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
    """Names new holders for services without one.

    Args:
        keeper: The keeper of the leader.
        state: The replicated state.
        now_ms: The time.

    Returns:
        Changes to commit, each with the version that it replaces.
    """
    if keeper.leader_since_ms is None:
        return ()
    candidates = _list_candidates(keeper, now_ms)
    if not candidates:
        return ()
    load = {entry: 0 for entry in candidates}
    open_services = []
    for kind, name in sorted(state.by_key, key=lambda key: key[1]):
        if kind is not resources.Kind.SERVICE:
            continue
        service = ids.ServiceName(name)
        spec = _get_assignment(state, service)
        if spec is not None and _is_held(keeper, service, spec, now_ms):
            holder = ids.ProcessId(spec.holder)
            if holder in load:
                load[holder] += 1
            continue
        open_services.append(service)
    planned = []
    for service in open_services:
        holder = min(candidates, key=lambda entry: (load[entry], entry))
        load[holder] += 1
        planned.append(_build_assignment(state, service, holder))
        spec = _get_assignment(state, service)
        if spec is not None:
            keeper.closed[service] = ids.Epoch(spec.epoch)
        # The new holder has the time of a lease to report for the first time.
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
