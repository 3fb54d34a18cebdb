"""The part of each team's upper limit that tasks of jobs may use.

Tasks share a team's limit with its requests. The planner asks for its part as
one more service, whose account counts everything that the replicated state says
is running, so that a new leader starts from a whole account. Without an
allotment of the current term nothing new is placed.
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
    """Keeps the allotments of the current term."""

    def __init__(self) -> None:
        self._nonce = 0
        self._term = ids.Term(0)
        self._amounts: dict[str, int] = {}

    def forget(self) -> None:
        """Forgets all allotments, as after a change of leader."""
        self._amounts = {}
        self._term = ids.Term(0)

    def build_request(
        self, all_jobs: Iterable[jobs.Job]
    ) -> messages.AllotmentRequest:
        """Reports what runs and waits, and gives back what is not needed.

        Args:
            all_jobs: Jobs by the committed state.

        Returns:
            The request to the leader's accounts.
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
        kept: dict[str, int] = {}
        for team in sorted(running.keys() | waiting.keys()):
            needed = running[team] + waiting[team]
            held = max(running[team], min(self._amounts.get(team, 0), needed))
            kept[team] = held
            demands.append(
                messages.TeamDemand(
                    ids.TeamName(team),
                    JOBS_SERVICE,
                    running[team],
                    waiting[team],
                    held,
                )
            )
        self._amounts = kept
        self._nonce += 1
        report = messages.ServiceReport(
            JOBS_SERVICE, allotments.FIRST_EPOCH, True
        )
        return messages.AllotmentRequest(
            self._nonce, tuple(demands), (report,), self._term
        )

    def handle_reply(self, reply: messages.AllotmentReply) -> None:
        """Adopts the reply to the newest request.

        Args:
            reply: The leader's reply.
        """
        if reply.nonce != self._nonce:
            return
        self._term = reply.term
        self._amounts = {
            allotment.team: allotment.amount for allotment in reply.allotments
        }

    def get_limits(self, term: ids.Term) -> Mapping[str, int]:
        """Gives how many tasks each team may run at once.

        Args:
            term: The current term.

        Returns:
            Limits by team; none for a team that has asked for nothing.
        """
        return self._amounts if term == self._term else {}
