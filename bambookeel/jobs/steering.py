"""Carries goals of instances out: drain, order, wait until they are back.

Takes the decisions of `upkeep` and `pools` and turns them into orders for the
provider, each on record before it is sent where its loss would matter.
"""

from bambookeel.jobs import availability
from bambookeel.jobs import book as job_book
from bambookeel.jobs import commands
from bambookeel.jobs import fleet as fleet_view
from bambookeel.jobs import instances
from bambookeel.jobs import settings as job_settings
from bambookeel.jobs import specs
from bambookeel.jobs import upkeep
from bambookeel.jobs import workers as worker_table

# How often the list is read while goals or waves need it, and otherwise.
_BUSY_LIST_MS = 1_000
_CALM_LIST_MS = 8_000
# Pause before an order that was refused is tried again.
_RETRY_MS = 600


def _has_moved_unnoticed(
    goal: fleet_view.Goal, worker: worker_table.Worker
) -> bool:
    """Tells whether a move was carried out though its answer did not come.

    Args:
        goal: A goal that is not reached.
        worker: The worker that reports from the instance.

    Returns:
        Whether it reports from the pool that the instance was to move to.
    """
    if goal.phase is not fleet_view.GoalPhase.DRAINING or not goal.is_repeated:
        return False
    match goal.order:
        case instances.Move(_, pool):
            return worker.report.service == pool
    return False


class InstanceController:
    """Goals of a leader's term."""

    def __init__(
        self, settings: job_settings.SchedulerSettings, now_ms: int
    ) -> None:
        """Starts without goals.

        Args:
            settings: Times to keep to.
            now_ms: When the term began.
        """
        self.fleet = fleet_view.Fleet()
        self._settings = settings
        self._orders_from_ms = now_ms + settings.holder_ms
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

    def _is_long_ago(
        self, book: job_book.Book, name: str, wall_ms: int
    ) -> bool:
        """Tells whether an earlier leader's order is surely out of the way.

        Args:
            book: The book.
            name: The instance.
            wall_ms: Unix time, maybe by another node's clock.

        Returns:
            Whether it is.
        """
        ordered_wall_ms = book.instances.ordered_wall_ms.get(name)
        if ordered_wall_ms is None:
            return True
        return wall_ms - ordered_wall_ms >= self._settings.order_old_ms

    def set_goal(self, order: instances.Order, now_ms: int) -> None:
        """Sets a goal for an instance that has none.

        Args:
            order: What is meant for it.
            now_ms: The time.
        """
        known = self.fleet.statuses[order.instance]
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
                if name in self.fleet.goals or name not in self.fleet.statuses:
                    continue
                self.set_goal(instances.Upkeep(name, number), now_ms)
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
                if name not in self.fleet.statuses:
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
            known = self.fleet.statuses.get(name)
            if known is not None and now_ms < known.retry_ms:
                continue
            is_early = now_ms < self._orders_from_ms
            if is_early and not self._is_long_ago(book, name, wall_ms):
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
                if not self._is_long_ago(book, other.report.instance, wall_ms)
            )
        heard_from_ms = now_ms - self._settings.heard_ms
        match goal.order:
            case instances.Upkeep(_, number):
                wave = book.instances.waves[number]
                request = wave.request
                ends_ms = request.at_wall_ms + request.duration_ms
                waiting = len(wave.waiting)
                rounds = -(-waiting // request.max_at_once) or 1
                spare_ms = (ends_ms - wall_ms) // rounds
                spare_ms -= self._settings.round_ms
                waited_ms = now_ms - goal.since_ms
                return upkeep.may_begin(
                    book,
                    table,
                    life,
                    ordered,
                    waited_ms,
                    spare_ms,
                    heard_from_ms,
                )
            case instances.Move():
                if book.held.get(life):
                    return False
                return availability.may_interrupt(
                    book, table, life, ordered, heard_from_ms
                )
        return False

    def handle_outcome(
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
            The worker that the order has surely ended, if any.
        """
        goal = self.fleet.goals.get(order.instance)
        if goal is None or goal.order != order:
            return None
        known = self.fleet.statuses.get(order.instance)
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

    def note_report(self, worker: worker_table.Worker) -> bool:
        """Notes that an instance is heard, maybe back from where it was.

        Args:
            worker: Its worker.

        Returns:
            Whether its goal has been reached.
        """
        name = worker.report.instance
        goal = self.fleet.goals.get(name)
        known = self.fleet.statuses.get(name)
        if known is not None:
            known.pool = worker.report.service
        if goal is None:
            return False
        if goal.phase is not fleet_view.GoalPhase.AWAY:
            return _has_moved_unnoticed(goal, worker)
        if goal.life is not None:
            return worker.life != goal.life
        # What is heard may be a late word of before the order.
        match goal.order:
            case instances.Move(_, pool):
                return worker.report.service == pool
        return False

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
