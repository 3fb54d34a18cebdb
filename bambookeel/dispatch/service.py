"""The state of one service's dispatcher.

One process at a time holds a service's dispatch lease and runs the functions of
this package on this state. They modify it and return effects; the current time
is passed in as `now_ms`, from the holder's own clock.
"""

import dataclasses

from bambookeel.core import ids
from bambookeel.core import resources
from bambookeel.dispatch import averages
from bambookeel.dispatch import backend_table
from bambookeel.dispatch import fair_queue
from bambookeel.dispatch import grant_table
from bambookeel.dispatch import idempotency
from bambookeel.dispatch import retry_budgets
from bambookeel.dispatch import team_limits

# Time after a grant within which its entry must have sent the request.
START_WITHIN_MS = 500
# The fewest ended requests from which times are estimated.
MIN_SAMPLES = 20
# Time after a grant at which a backend server's own count includes it: the time
# allowed for the start, plus that for resending over a failing connection.
SETTLE_MS = START_WITHIN_MS + 2_000
# Weight of requests without a team on a queue open to all.
NO_TEAM_WEIGHT = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Deployment:
    """The entry processes of the deployment.

    Attributes:
        process_id: Id of this process.
        data_centres: Data centre of each entry, this process included.
        probe_connections: Connections of each server reserved for probes.
    """

    process_id: ids.ProcessId
    data_centres: dict[ids.ProcessId, ids.DataCentre]
    probe_connections: int = 4


@dataclasses.dataclass(slots=True)
class RecoveryProgress:
    """What a new holder has learned from one entry during recovery.

    Attributes:
        queried_at_ms: When it was first queried on this link; None before.
        last_queried_at_ms: When it was last queried.
        answer_covers_until_ms: A grant made before this time and missing in the
            entry's answer never reached the entry.
        alive_since_ms: When its process started, as reported; None before.
        restored: Whether it stores all records that it should.
        had_all_records: Whether its first answer in this epoch contained all
            records that it should store; None before.
        outstanding_reported: Whether it has reported its outstanding requests.
        fully_counted: Whether all its requests are counted, those from before
            its last restart included.
    """

    queried_at_ms: int | None = None
    last_queried_at_ms: int = 0
    answer_covers_until_ms: int = 0
    alive_since_ms: int | None = None
    restored: bool = False
    had_all_records: bool | None = None
    outstanding_reported: bool = False
    fully_counted: bool = False

    def has_answered(self) -> bool:
        """Checks whether the entry has answered both recovery queries.

        Returns:
            Whether both answers have arrived.
        """
        return self.outstanding_reported and self.alive_since_ms is not None


@dataclasses.dataclass(slots=True)
class PendingCopy:
    """A request whose idempotency record is being copied.

    Attributes:
        waiting: The request.
        target: The process asked to store the copy.
        requested_at_ms: When it was asked, on this process's clock.
    """

    waiting: fair_queue.WaitingRequest
    target: ids.ProcessId
    requested_at_ms: int


@dataclasses.dataclass(slots=True)
class ServiceState:
    """The complete state of one service's dispatcher.

    Attributes:
        service: Name of the service.
        epoch: The holder's epoch.
        spec: The service's declared settings.
        deployment: The entry processes.
        started_at_ms: When the epoch's first lease began; None before.
        lease_until_ms: When the dispatch lease ends, in ms on this process's
            clock.
        ready: Whether recovery is far enough to grant slots.
        all_counted: Whether all requests that may be running are counted.
        released: Whether the lease was released; nothing is granted after.
        reachable: Linked entries, this process included.
        progress_by_entry: Recovery progress of each entry.
        weights: Share weights by team.
        upper_limits: Fleet-wide upper limits by team.
        use_by_team: Average time in a slot, by team.
        overall_use: Average time in a slot over all teams.
        slots: Slots of usable servers at the last tick.
        recharges: Heap of grants by the time at which they exceed their charge.
        pending_copies: Requests that wait for a record copy, by the copy's
            nonce.
        copy_nonces: Nonces of the pending copies by request.
        deferred: Requests with an Idempotency-Key that arrived before recovery
            had finished.
        failed_once: Times of failure by request; a retry of such a request
            needs the retry budget.
        entries_to_query_again: Entries to query again about grants that are
            past their deadline.
        last_nonce: The newest nonce.
        incomplete_announced: Whether the entries have been notified that
            records may be missing.
    """

    service: ids.ServiceName
    epoch: ids.Epoch
    spec: resources.ServiceSpec
    deployment: Deployment
    started_at_ms: int | None = None
    lease_until_ms: int = 0
    ready: bool = False
    all_counted: bool = False
    released: bool = False
    reachable: set[ids.ProcessId] = dataclasses.field(default_factory=set)
    progress_by_entry: dict[ids.ProcessId, RecoveryProgress] = (
        dataclasses.field(default_factory=dict)
    )
    weights: dict[ids.TeamName, float] = dataclasses.field(default_factory=dict)
    upper_limits: dict[ids.TeamName, int] = dataclasses.field(
        default_factory=dict
    )
    use_by_team: dict[ids.TeamName, averages.MovingAverage] = dataclasses.field(
        default_factory=dict
    )
    overall_use: averages.MovingAverage = dataclasses.field(
        default_factory=averages.MovingAverage
    )
    slots: int = 0
    recharges: list[tuple[int, grant_table.GrantKey]] = dataclasses.field(
        default_factory=list
    )
    pending_copies: dict[int, PendingCopy] = dataclasses.field(
        default_factory=dict
    )
    copy_nonces: dict[ids.RequestId, int] = dataclasses.field(
        default_factory=dict
    )
    deferred: dict[ids.RequestId, fair_queue.WaitingRequest] = (
        dataclasses.field(default_factory=dict)
    )
    failed_once: dict[ids.RequestId, int] = dataclasses.field(
        default_factory=dict
    )
    entries_to_query_again: set[ids.ProcessId] = dataclasses.field(
        default_factory=set
    )
    last_nonce: int = 0
    incomplete_announced: bool = False
    backends: backend_table.BackendTable = dataclasses.field(
        default_factory=backend_table.BackendTable
    )
    queue: fair_queue.Queue = dataclasses.field(
        default_factory=fair_queue.Queue
    )
    grants: grant_table.GrantTable = dataclasses.field(
        default_factory=grant_table.GrantTable
    )
    limits: team_limits.LimitTable = dataclasses.field(
        default_factory=team_limits.LimitTable
    )
    records: idempotency.RecordTable = dataclasses.field(
        default_factory=idempotency.RecordTable
    )
    budgets: retry_budgets.RetryBudgets = dataclasses.field(
        default_factory=retry_budgets.RetryBudgets
    )


def may_grant(state: ServiceState, now_ms: int) -> bool:
    """Checks whether the holder may grant slots.

    Args:
        state: The service's state.
        now_ms: Current time in ms, read immediately before the grant.

    Returns:
        Whether recovery is far enough, and the lease is valid and has not been
        released.
    """
    return state.ready and not state.released and now_ms < state.lease_until_ms


def get_shortest_use(state: ServiceState, team: ids.TeamName) -> float:
    """Estimates the least time for which a team's next request uses a slot.

    Args:
        state: The service's state.
        team: The team.

    Returns:
        The shortest recent time in ms; 0 while there are too few samples.
    """
    average = state.use_by_team.get(team)
    if average is None or average.samples < MIN_SAMPLES:
        return 0.0
    return average.shortest_ms


def get_expected_use(state: ServiceState, team: ids.TeamName) -> float:
    """Estimates how long a team's next request uses a slot.

    Args:
        state: The service's state.
        team: The team.

    Returns:
        The team's average in ms; that of all teams if the team has no samples.
    """
    average = state.use_by_team.get(team)
    if average is not None and average.samples:
        return average.value_ms
    return state.overall_use.value_ms
