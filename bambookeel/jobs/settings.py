"""Bounds of the deployment, and the scheduler's times that follow from them."""

import dataclasses
import math

# Workers are told to report so often; a leader gets the reports of all.
_REPORT_MS = 200
# A worker that missed several reports in a row gets nothing new.
_FRESH_MS = 1_200
# Lease of a run: outlasts an election that is split once.
_LEASE_MS = 4_000
# Beyond the holder's lease, for an order that is on its way when it ends.
_HOLDER_MARGIN_MS = 300
# By how much two nodes may differ in the time of day, one of them after a jump.
_CLOCK_STEP_MS = 5_000
# Longest way of an order to the provider once it is on record.
_ORDER_WAY_MS = 1_000
# Silence of a worker after which its tasks count as away, where that is not
# bounded more tightly; several missed reports.
_HEARD_MS = 1_500
# From a tail that is over its target to a pace that shows in it: a report each
# way, the span of half a second that a tail is measured over, and a rest.
_PACE_WAY_MS = 1_000
# A run without progress for so long stands still; ordinary ones gain some
# percent between two reports.
_STALL_MS = 900
# One that has not begun may be held up by more than its checkpoint.
_STALL_AT_START_MS = 1_800
# From the end of a restore to the first report that tells of progress.
_RESTORED_MS = 300
# What a round of a wave takes beside the upkeep itself: the order, the list or
# report that shows the instance again, and a rest.
_ROUND_MS = 2_000


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """What the deployment promises or allows; may hold fractions.

    Attributes:
        longest_lease_ms: Longest lease that workers honour.
        keep_ended_ms: How long ended jobs must be known.
        holder_lease_ms: Shortest time between two holders' orders for one
            instance.
        unavailable_ms: How long a standing task is away before planned acts must
            count it.
        over_target_ms: How long filling tasks may keep a serving one over its target.
        restore_ms: How long a run takes to go on from its checkpoint.
        upkeep_ms: How long an instance is away for its upkeep.
    """

    longest_lease_ms: float
    keep_ended_ms: float
    holder_lease_ms: float
    unavailable_ms: float
    over_target_ms: float
    restore_ms: float
    upkeep_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class SchedulerSettings:
    """Times that the scheduler keeps to.

    Attributes:
        lease_ms: How long runs go on without a report.
        max_lease_ms: Longest lease that any leader may have given.
        report_ms: Time between the reports of a worker.
        keep_ended_ms: How long ended jobs are remembered.
        assign_max_silence_ms: A worker that is silent for longer gets no new runs.
        earlier_orders_ms: How long an earlier leader's orders to the provider may
            still arrive.
        order_settled_ms: An order on record that is older, by any node's clock,
            was carried out long enough ago for another holder's.
        available_max_silence_ms: A worker that is silent for longer may not be running its
            tasks.
        stop_fillers_after_ms: How long a serving task may be over its target before what
            fills beside it stops.
        stall_ms: A run without progress for so long stands still.
        stall_at_start_ms: The same for one that has made none yet.
        wave_round_ms: A wave with less time than this for each round to come waits
            for nothing.
    """

    lease_ms: int
    max_lease_ms: int
    report_ms: int
    keep_ended_ms: int
    assign_max_silence_ms: int
    earlier_orders_ms: int
    order_settled_ms: int
    available_max_silence_ms: int
    stop_fillers_after_ms: int
    stall_ms: int
    stall_at_start_ms: int
    wave_round_ms: int

    @classmethod
    def from_bounds(cls, bounds: Bounds) -> "SchedulerSettings":
        """Derives the times from a deployment's bounds.

        Args:
            bounds: The bounds.

        Returns:
            The settings.
        """
        lease_ms = min(_LEASE_MS, math.floor(bounds.longest_lease_ms))
        earlier_orders_ms = math.ceil(bounds.holder_lease_ms)
        # What is decided now is carried out up to an order's way later.
        available_max_silence_ms = math.floor(bounds.unavailable_ms) - _ORDER_WAY_MS - _REPORT_MS
        restored_ms = math.ceil(bounds.restore_ms) + _RESTORED_MS
        return cls(
            lease_ms=lease_ms,
            max_lease_ms=lease_ms,
            report_ms=_REPORT_MS,
            keep_ended_ms=math.ceil(bounds.keep_ended_ms) + _CLOCK_STEP_MS,
            assign_max_silence_ms=_FRESH_MS,
            earlier_orders_ms=earlier_orders_ms + _HOLDER_MARGIN_MS,
            order_settled_ms=earlier_orders_ms + _CLOCK_STEP_MS + _ORDER_WAY_MS,
            available_max_silence_ms=min(_HEARD_MS, max(available_max_silence_ms, 2 * _REPORT_MS)),
            stop_fillers_after_ms=max(0, math.floor(bounds.over_target_ms) - _PACE_WAY_MS),
            # The run may list the percentage of its checkpoint meanwhile.
            stall_ms=max(_STALL_MS, restored_ms),
            # A slow worker takes longer to restore as well.
            stall_at_start_ms=max(_STALL_AT_START_MS, 2 * restored_ms),
            wave_round_ms=math.ceil(bounds.upkeep_ms) + _ROUND_MS,
        )
