"""Carries goals of instances out: drain, order, wait until they are back.

Takes the decisions of `upkeep` and `pools` and turns them into orders for the
provider, each on record before it is sent where its loss would matter.
"""

from bambookeel.jobs import availability
from bambookeel.jobs import book as job_book
from bambookeel.jobs import commands
from bambookeel.jobs import fleet as fleet_view
from bambookeel.jobs import instances
from bambookeel.jobs import specs
from bambookeel.jobs import upkeep
from bambookeel.jobs import workers as worker_table

# How often the list is read while goals or waves need it, and otherwise.
_BUSY_LIST_MS = 1_000
_CALM_LIST_MS = 8_000
# An order on record that is older has reached the provider long since, even by
# clocks that differ by several seconds.
_LONG_AGO_MS = 9_000
# Pause before an order that was refused is tried again.
_RETRY_MS = 600


def _is_long_ago(ordered_wall_ms: int | None, wall_ms: int) -> bool:
    """Tells whether an earlier leader's order is surely out of the way.

    Args:
        ordered_wall_ms: When the order was put on record; None for never.
        wall_ms: Unix time, maybe by another node's clock.

    Returns:
        Whether it is.
    """
    if ordered_wall_ms is None:
        return True
    return wall_ms - ordered_wall_ms >= _LONG_AGO_MS


class Steering:
    """Goals of a leader's term."""

    def __init__(self, orders_from_ms: int) -> None:
        self.fleet = fleet_view.Fleet()
        self._orders_from_ms = orders_from_ms
        # When this leader first saw each wave; an older list says nothing
        # about its instances.
        self._waves_seen_ms: dict[int, int] = {}

    def is_list_due(self, book: job_book.Book, now_ms: int) -> bool:
        """Tells whether the provider's list should be read.

        Args:
            book: The book.
            now_ms: The time.

        Returns:
            Whether it should; it then counts as asked for.
        """
        fleet = self.fleet
        if fleet.is_listing:
            return False
        waits = any(
            goal.phase is fleet_view.GoalPhase.AWAY
            for goal in fleet.goals.values()
        )
        waits |= any(
            not wave.is_complete for wave in book.instances.waves.values()
        )
        period_ms = _BUSY_LIST_MS if waits else _CALM_LIST_MS
        if now_ms - fleet.asked_ms < period_ms:
            return False
        fleet.asked_ms = now_ms
        fleet.is_listing = True
        return True

    def aim(self, order: instances.Order, now_ms: int) -> None:
        """Sets a goal for an instance that has none.

        Args:
            order: What is meant for it.
            now_ms: The time.
        """
        known = self.fleet.known[order.instance]
        self.fleet.goals[order.instance] = fleet_view.Goal(
            order, now_ms, known.pool
        )

    def is_usable(self, instance: str) -> bool:
        """Tells whether an instance may get new work.

        Args:
            instance: The instance.

        Returns:
            False while a goal is set for it.
        """
        return instance not in self.fleet.goals

    def resume(self, book: job_book.Book, now_ms: int) -> None:
        """Takes up upkeeps that an earlier leader has ordered.

        Args:
            book: The book.
            now_ms: The time.
        """
        for number, wave in book.instances.waves.items():
            for name in wave.ordered:
                if name in self.fleet.goals or name not in self.fleet.known:
                    continue
                self.aim(instances.Upkeep(name, number), now_ms)
                self.fleet.goals[name].is_repeated = True

    def find_gone(
        self, book: job_book.Book, now_ms: int
    ) -> list[commands.Command]:
        """Ends the upkeep of instances that the provider no longer lists.

        Args:
            book: The book.
            now_ms: The time.

        Returns:
            The commands.
        """
        found: list[commands.Command] = []
        for number, wave in book.instances.waves.items():
            seen_ms = self._waves_seen_ms.setdefault(number, now_ms)
            if self.fleet.listed_ms <= seen_ms:
                continue
            for name in (*wave.waiting, *wave.ordered):
                if name not in self.fleet.known:
                    found.append(commands.UpkeepEnded(number, name))
        return found

    def choose_orders(
        self,
        book: job_book.Book,
        table: worker_table.WorkerTable,
        now_ms: int,
        wall_ms: int,
    ) -> list[instances.Order]:
        """Chooses what to order from the provider now.

        Args:
            book: The book.
            table: The workers.
            now_ms: The time.
            wall_ms: Unix time.

        Returns:
            The orders; their goals count as ordered.
        """
        orders = []
        for name, goal in self.fleet.goals.items():
            if goal.phase is not fleet_view.GoalPhase.DRAINING:
                continue
            known = self.fleet.known.get(name)
            if known is not None and now_ms < known.retry_ms:
                continue
            if now_ms < self._orders_from_ms and not _is_long_ago(
                book.instances.ordered_wall_ms.get(name), wall_ms
            ):
                continue
            worker = table.find_by_instance(name)
            is_off = goal.from_pool == book.view.find_spare_pool()
            if worker is None and not is_off and now_ms < self._orders_from_ms:
                # What runs there is not known yet.
                continue
            if worker is not None and not self._may_order(
                book, table, worker, goal, now_ms, wall_ms
            ):
                continue
            goal.phase = fleet_view.GoalPhase.ORDERED
            goal.since_ms = now_ms
            goal.life = worker.life if worker is not None else None
            if not goal.is_repeated:
                goal.first_life = goal.life
            orders.append(goal.order)
        return orders

    def _may_order(
        self,
        book: job_book.Book,
        table: worker_table.WorkerTable,
        worker: worker_table.Worker,
        goal: fleet_view.Goal,
        now_ms: int,
        wall_ms: int,
    ) -> bool:
        life = worker.life
        ordered = frozenset(
            other.life
            for other in self.fleet.goals.values()
            if other.life is not None
            and (
                other.is_repeated
                or other.phase is not fleet_view.GoalPhase.DRAINING
            )
        )
        if now_ms < self._orders_from_ms:
            # An earlier leader's order may have ended what was heard last.
            ordered |= frozenset(
                other.life
                for other in table.by_id.values()
                if not _is_long_ago(
                    book.instances.ordered_wall_ms.get(other.report.instance),
                    wall_ms,
                )
            )
        match goal.order:
            case instances.Upkeep(_, number):
                wave = book.instances.waves[number]
                request = wave.request
                ends_ms = request.at_wall_ms + request.duration_ms
                waiting = len(wave.waiting)
                rounds = -(-waiting // request.max_at_once) or 1
                left_ms = (ends_ms - wall_ms) // rounds
                waited_ms = now_ms - goal.since_ms
                return upkeep.may_begin(
                    book, table, life, ordered, waited_ms, left_ms, now_ms
                )
            case instances.Move():
                if book.held.get(life):
                    return False
                return availability.may_interrupt(
                    book, table, life, ordered, now_ms
                )
        return False

    def take_outcome(
        self,
        order: instances.Order,
        outcome: instances.OrderOutcome,
        now_ms: int,
    ) -> specs.WorkerLife | None:
        """Takes what came of an order.

        Args:
            order: The order.
            outcome: What came of it.
            now_ms: The time.

        Returns:
            The worker that the order has ended, if any.
        """
        goal = self.fleet.goals.get(order.instance)
        if goal is None or goal.order != order:
            return None
        known = self.fleet.known.get(order.instance)
        match outcome:
            case instances.OrderOutcome.DONE:
                goal.phase = fleet_view.GoalPhase.AWAY
                goal.since_ms = now_ms
                if goal.is_repeated and goal.life != goal.first_life:
                    # It may have been done before this worker started.
                    return None
                return goal.life
            case instances.OrderOutcome.IMPOSSIBLE:
                del self.fleet.goals[order.instance]
            case instances.OrderOutcome.UNKNOWN:
                # It may be under way; the same order again does no harm.
                goal.is_repeated = True
                goal.phase = fleet_view.GoalPhase.DRAINING
            case _:
                goal.phase = fleet_view.GoalPhase.DRAINING
                if isinstance(order, instances.Move):
                    del self.fleet.goals[order.instance]
        if known is not None:
            known.retry_ms = now_ms + _RETRY_MS
        return None

    def note_heard(self, worker: worker_table.Worker) -> bool:
        """Notes that an instance is heard, maybe back from where it was.

        Args:
            worker: Its worker.

        Returns:
            Whether its goal has been reached.
        """
        name = worker.report.instance
        goal = self.fleet.goals.get(name)
        known = self.fleet.known.get(name)
        if known is not None:
            known.pool = worker.report.service
        if goal is None:
            return False
        if goal.phase is fleet_view.GoalPhase.AWAY:
            return goal.life is None or worker.life != goal.life
        # The move was carried out, though its answer did not come.
        return (
            goal.phase is fleet_view.GoalPhase.DRAINING
            and goal.is_repeated
            and isinstance(goal.order, instances.Move)
            and goal.order.pool == worker.report.service
        )

    def end_goal(self, name: str) -> list[commands.Command]:
        """Ends a goal that has been reached.

        Args:
            name: The instance.

        Returns:
            What to put on record.
        """
        goal = self.fleet.goals.pop(name)
        match goal.order:
            case instances.Upkeep(_, wave):
                return [commands.UpkeepEnded(wave, name)]
        return []
