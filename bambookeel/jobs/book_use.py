"""Resource usage of the teams' runs, which caps and shares are based on."""

from bambookeel.jobs import book_records
from bambookeel.jobs import specs


class Usage:
    """Sums the resources that runs take."""

    def __init__(self) -> None:
        # Resources of all runs of a team.
        self.by_team: dict[str, specs.Resources] = {}
        # Processor time of the runs by queue and team, in thousandths of a
        # core, without standing tasks.
        self.by_queue: dict[str, dict[str, int]] = {}

    def add(self, job: book_records.Job, spec: specs.StepSpec) -> None:
        """Adds the resources of a run that was assigned.

        Args:
            job: Job of the run.
            spec: Step of the run.
        """
        used = self.by_team.get(job.team, specs.Resources())
        self.by_team[job.team] = used + spec.needs
        self._add_to_queue(job, spec, spec.needs.cpu_milli)

    def remove(self, job: book_records.Job, spec: specs.StepSpec) -> None:
        """Subtracts the resources of a run that has ended.

        Args:
            job: Job of the run.
            spec: Step of the run.
        """
        self.by_team[job.team] = self.by_team[job.team] - spec.needs
        self._add_to_queue(job, spec, -spec.needs.cpu_milli)

    def _add_to_queue(
        self, job: book_records.Job, spec: specs.StepSpec, cpu_milli: int
    ) -> None:
        if spec.is_standing:
            return
        teams = self.by_queue.setdefault(job.queue, {})
        teams[job.team] = teams.get(job.team, 0) + cpu_milli
        if not teams[job.team]:
            del teams[job.team]
