"""What teams have running, as caps and shares need it."""

from bambookeel.jobs import book_records
from bambookeel.jobs import specs


class Usage:
    """Counts what runs take."""

    def __init__(self) -> None:
        # Everything that a team has running.
        self.by_team: dict[str, specs.Resources] = {}
        # Processor time of the teams' runs, without standing ones, by queue.
        self.by_queue: dict[str, dict[str, int]] = {}

    def add(self, job: book_records.Job, spec: specs.StepSpec) -> None:
        """Counts a run that begins.

        Args:
            job: Its job.
            spec: Its step.
        """
        used = self.by_team.get(job.team, specs.Resources())
        self.by_team[job.team] = used + spec.needs
        self._count(job, spec, spec.needs.cpu_milli)

    def remove(self, job: book_records.Job, spec: specs.StepSpec) -> None:
        """Counts a run that has ended.

        Args:
            job: Its job.
            spec: Its step.
        """
        self.by_team[job.team] = self.by_team[job.team] - spec.needs
        self._count(job, spec, -spec.needs.cpu_milli)

    def _count(
        self, job: book_records.Job, spec: specs.StepSpec, cpu_milli: int
    ) -> None:
        if spec.is_standing:
            return
        teams = self.by_queue.setdefault(job.queue, {})
        teams[job.team] = teams.get(job.team, 0) + cpu_milli
        if not teams[job.team]:
            del teams[job.team]
