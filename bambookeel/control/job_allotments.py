"""The part of each team's upper limit that tasks of jobs may use.

Tasks share a team's limit with its requests. The planner requests allotments
like the holder of one more service. Its reports count every task that runs
according to the replicated state, so a new leader's reports are complete from
the start. Without an allotment of the current term no task is placed.
"""

from collections import Counter
from collections.abc import Iterable
from collections.abc import Mapping

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.dispatch import allotments
from bambookeel.fleet import jobs

JOBS_SERVICE = ids.ServiceName(f"{allotments.JOBS_PREFIX}fleet")


class JobAllotments:
    """The planner's allotments of the current term."""

    def __init__(self) -> None:
        self._nonce = 0
        self._term = ids.Term(0)
        self._amounts: dict[str, int] = {}

    def drop_all(self) -> None:
        """Drops all allotments, as after a change of leader."""
        self._amounts = {}
        self._term = ids.Term(0)

    def build_request(
        self, all_jobs: Iterable[jobs.Job]
    ) -> messages.AllotmentRequest:
        """Reports running and waiting tasks, and releases unused amounts.

        Args:
            all_jobs: All jobs of the committed state.

        Returns:
            The request to the leader's allotment ledger.
        """
        running: Counter[str] = Counter()
        waiting: Counter[str] = Counter()
        for job in all_jobs:
            is_ended = job.state in jobs.ENDED_STATES
            for task in job.tasks:
                if task.state in jobs.ACTIVE_STATES:
                    running[job.spec.team] += 1
                elif task.state is jobs.TaskState.PENDING and not is_ended:
                    waiting[job.spec.team] += 1
        demands: list[messages.TeamDemand] = []
        held_by_team: dict[str, int] = {}
        for team in sorted(running.keys() | waiting.keys()):
            needed = running[team] + waiting[team]
            held = max(running[team], min(self._amounts.get(team, 0), needed))
            held_by_team[team] = held
            demands.append(
                messages.TeamDemand(
                    ids.TeamName(team),
                    JOBS_SERVICE,
                    running[team],
                    waiting[team],
                    held,
                )
            )
        self._amounts = held_by_team
        self._nonce += 1
        report = messages.ServiceReport(
            JOBS_SERVICE, allotments.FIRST_EPOCH, True
        )
        return messages.AllotmentRequest(
            self._nonce, tuple(demands), (report,), self._term
        )

    def handle_reply(self, reply: messages.AllotmentReply) -> None:
        """Stores the allotments of a reply to the newest request.

        Args:
            reply: The leader's reply; ignored if it answers an older request.
        """
        if reply.nonce != self._nonce:
            return
        self._term = reply.term
        self._amounts = {
            allotment.team: allotment.amount for allotment in reply.allotments
        }

    def get_limits(self, term: ids.Term) -> Mapping[str, int]:
        """Returns how many tasks each team may run at once.

        Args:
            term: The current term.

        Returns:
            Number of tasks by team; a team without an allotment is absent, and
            all are if the allotments are of another term.
        """
        return self._amounts if term == self._term else {}
