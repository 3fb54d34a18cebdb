"""The job book: replicated state of all jobs, their tasks and runs.

Replicas apply the same commands in the same order and so hold equal books.
The book also keeps the indexes that the scheduler reads often: steps with
waiting tasks by queue, runs by worker, and the resource usage of each team.
"""

from bambookeel.configuration import document as configuration
from bambookeel.configuration import renames
from bambookeel.core import faults
from bambookeel.jobs import book_crashes
from bambookeel.jobs import book_records
from bambookeel.jobs import book_use
from bambookeel.jobs import book_work
from bambookeel.jobs import commands
from bambookeel.jobs import instance_records
from bambookeel.jobs import run_records
from bambookeel.jobs import specs


class Book:
    """All replicated state of jobs, with its indexes."""

    def __init__(self) -> None:
        self.configuration = configuration.EMPTY
        self.former = renames.Former()
        self.jobs: dict[str, book_records.Job] = {}
        self.instances = instance_records.InstanceRecords()
        self.crashes = book_crashes.CrashRecords()
        # Steps with waiting tasks whose earlier steps are complete, by queue.
        self.ready: dict[str, dict[book_records.StepKey, book_records.Step]] = (
            {}
        )
        # Runs assigned to workers and not known to have ended.
        self.assigned_runs: dict[
            specs.WorkerIncarnation,
            dict[specs.TaskRef, run_records.AssignedRun],
        ] = {}
        self.usage = book_use.Usage()
        self.open_work = book_work.OpenWork()
        # Number of jobs of each queue that have not begun.
        self.pending: dict[str, int] = {}
        # Open jobs of each queue, in the order of their admission.
        self.open_jobs: dict[str, dict[str, None]] = {}

    def apply(self, command: commands.Command) -> None:
        """Applies one command of the replicated log.

        Args:
            command: The next command in log order.
        """
        match command:
            case commands.PutConfiguration(document):
                if document.version > self.configuration.document.version:
                    self._configure(configuration.View(document))
            case commands.AdmitJob():
                self.admit_job(command)
            case commands.CancelJob(job, at_wall_ms):
                self._end_open_job(job, specs.JobState.CANCELLED, at_wall_ms)
            case commands.GiveUpJob(job, reason, at_wall_ms):
                self._end_open_job(
                    job, specs.JobState.FAILED, at_wall_ms, reason
                )
                self.crashes.apply(command, self.get_task)
            case commands.DropJobs(jobs):
                for job in jobs:
                    self.jobs.pop(job, None)
            case commands.AssignRuns() | commands.EndRuns():
                self._apply_run_command(command)
            case commands.RepeatOrders() | commands.AdoptRuns():
                run_records.apply_to_orders(
                    self.assigned_runs, self.jobs, command
                )
            case commands.LoseRuns(incarnation, _, runs):
                for task, run, checkpoint in runs:
                    self._lose_run(incarnation, task, run, checkpoint)
                self.crashes.record_loss(command, self.jobs)
            case _:
                instance_records.apply_to_instances(self.instances, command)
                self.crashes.apply(command, self.get_task)

    def _configure(self, view: configuration.View) -> None:
        """Puts a configuration in force; jobs follow renamed queues and teams.

        Args:
            view: The configuration.
        """
        queues, teams = self.former.follow(
            self.configuration,
            view,
            {job.queue for job in self.jobs.values()},
            {job.team for job in self.jobs.values()},
        )
        self.configuration = view
        moved = [
            job
            for job in self.jobs.values()
            if job.queue in queues or job.team in teams
        ]
        for job in moved:
            job.queue = queues.get(job.queue, job.queue)
            job.team = teams.get(job.team, job.team)
        if moved:
            self._rebuild_indexes()

    def _rebuild_indexes(self) -> None:
        """Rebuilds the indexes by queue and team."""
        self.ready = {}
        self.pending = {}
        self.open_jobs = {}
        self.usage = book_use.Usage()
        self.open_work = book_work.OpenWork()
        for job in self.jobs.values():
            if job.is_open:
                self._index_open_job(job)
        for runs in self.assigned_runs.values():
            for run in runs.values():
                step = self.get_step(run.task)
                assert step is not None
                self.usage.add(self.jobs[run.task.job], step.spec)

    def _index_open_job(self, job: book_records.Job) -> None:
        if job.state is specs.JobState.WAITING:
            self.pending[job.queue] = self.pending.get(job.queue, 0) + 1
        self.open_jobs.setdefault(job.queue, {})[job.job_id] = None
        self.open_work.add_job(job)
        for step in job.steps.values():
            self.update_ready(job, step)

    def _apply_run_command(
        self, command: commands.AssignRuns | commands.EndRuns
    ) -> None:
        match command:
            case commands.AssignRuns():
                for assignment in command.runs:
                    self._assign(command, assignment)
            case commands.EndRuns(incarnation, ends, at_wall_ms, begun):
                for name in begun:
                    if name in self.jobs:
                        self.activate_job(self.jobs[name])
                for ended in ends:
                    self._end_run(incarnation, ended, at_wall_ms)

    def find_queue(self, name: str) -> configuration.Queue | None:
        """Finds a queue, including one that is no longer configured.

        Args:
            name: Name of the queue.

        Returns:
            The queue, or None if it was never configured.
        """
        return self.configuration.queues.get(name) or self.former.queues.get(
            name
        )

    def get_task(self, ref: specs.TaskRef) -> book_records.Task | None:
        """Looks up a task.

        Args:
            ref: Identifies the task.

        Returns:
            The task, or None if it does not exist.
        """
        step = self.get_step(ref)
        if step is None or not 0 <= ref.task_index < len(step.tasks):
            return None
        return step.tasks[ref.task_index]

    def get_step(self, ref: specs.TaskRef) -> book_records.Step | None:
        """Looks up the step of a task.

        Args:
            ref: Identifies the task.

        Returns:
            The step, or None if it does not exist.
        """
        job = self.jobs.get(ref.job)
        key = ref.occurrence, ref.step
        return job.steps.get(key) if job is not None else None

    def admit_job(self, command: commands.AdmitJob) -> None:
        """Adds a job that was admitted, unless the book already contains it.

        Args:
            command: Command that admitted the job.
        """
        if command.job in self.jobs:
            return
        job = book_records.Job.from_command(command)
        self.jobs[job.job_id] = job
        self._index_open_job(job)

    def update_ready(
        self, job: book_records.Job, step: book_records.Step
    ) -> None:
        """Adds a step to the ready ones or removes it, after a change.

        Args:
            job: Job of the step.
            step: Step that has changed.
        """
        ready = self.ready.setdefault(job.queue, {})
        if job.is_open and step.waiting and step.unfinished_dependencies == 0:
            ready[step.key] = step
        else:
            ready.pop(step.key, None)

    def _end_open_job(
        self,
        name: str,
        state: specs.JobState,
        at_wall_ms: int,
        reason: str = "",
    ) -> None:
        job = self.jobs.get(name)
        if job is not None and job.is_open:
            self.end_job(job, state, at_wall_ms)
            job.end_reason = reason

    def activate_job(self, job: book_records.Job) -> None:
        """Marks a waiting job as active.

        Args:
            job: Job of which a run has started or that has ended.
        """
        if job.state is specs.JobState.WAITING:
            job.state = specs.JobState.ACTIVE
            self.pending[job.queue] -= 1

    def end_job(
        self, job: book_records.Job, state: specs.JobState, at_wall_ms: int
    ) -> None:
        """Ends an open job.

        Args:
            job: The job.
            state: State in which it ends.
            at_wall_ms: Unix time in milliseconds of its end.
        """
        self.activate_job(job)
        job.state = state
        job.ended_wall_ms = at_wall_ms
        self.open_jobs[job.queue].pop(job.job_id, None)
        self.open_work.remove_job(job)
        for step in job.steps.values():
            self.update_ready(job, step)

    def _assign(
        self, command: commands.AssignRuns, assignment: commands.Assignment
    ) -> None:
        incarnation = command.life
        ref = specs.TaskRef(*assignment.task)
        task = self.get_task(ref)
        job = self.jobs[ref.job]
        step = self.get_step(ref)
        faults.check_invariant(
            task is not None and step is not None and not task.is_done,
            f"a run of {ref} is assigned, but the task is done or unknown",
        )
        assert task is not None and step is not None
        faults.check_invariant(
            not task.runs or step.spec.allows_copies,
            f"a second run of {ref} is assigned beside {task.runs}",
        )
        faults.check_invariant(
            assignment.run > task.last_run,
            f"run {assignment.run} of {ref} is assigned after run"
            f" {task.last_run}",
        )
        task.last_run = assignment.run
        step.add_run(task, assignment.run, incarnation)
        step.waiting.pop(ref.task_index, None)
        self.assigned_runs.setdefault(incarnation, {})[ref] = (
            run_records.AssignedRun.from_command(command, assignment)
        )
        self.usage.add(job, step.spec)
        job.has_had_run = True
        self.update_ready(job, step)

    def _remove_run(
        self, incarnation: specs.WorkerIncarnation, ref: specs.TaskRef, run: int
    ) -> tuple[book_records.Job, book_records.Step, book_records.Task] | None:
        """Removes a run from its worker.

        Args:
            incarnation: The worker.
            ref: Task of the run.
            run: Number of the run.

        Returns:
            The job, step and task; None if the run is not assigned there.
        """
        worker_runs = self.assigned_runs.get(incarnation, {})
        found = worker_runs.get(ref)
        if found is None or found.run != run:
            return None
        del worker_runs[ref]
        if not worker_runs:
            del self.assigned_runs[incarnation]
        job = self.jobs[ref.job]
        step = job.steps[ref.occurrence, ref.step]
        task = step.tasks[ref.task_index]
        step.remove_run(task, run)
        self.usage.remove(job, step.spec)
        return job, step, task

    def _end_run(
        self,
        incarnation: specs.WorkerIncarnation,
        ended: commands.EndedRun,
        at_wall_ms: int,
    ) -> None:
        ref = specs.TaskRef(*ended.task)
        removed = self._remove_run(incarnation, ref, ended.run)
        if removed is None:
            return
        job, step, task = removed
        if ended.how is not specs.RunEnd.REFUSED:
            self.activate_job(job)
        if ended.saved:
            task.checkpoint = ended.saved
        if not job.is_open or task.is_done:
            return
        if ended.how is specs.RunEnd.DONE and not step.spec.is_standing:
            self._complete_tasks(job, step, task, at_wall_ms)
            return
        if ended.how is specs.RunEnd.FAILED and not step.spec.is_standing:
            failures = step.count_failure(task, ended.run)
            queue = self.find_queue(job.queue)
            if queue is not None and failures >= max(1, queue.max_attempts):
                self.end_job(job, specs.JobState.FAILED, at_wall_ms)
                job.end_reason = f"task {ref.position} failed {failures} times"
                return
        self._requeue_task(job, step, task)

    def _complete_tasks(
        self,
        job: book_records.Job,
        step: book_records.Step,
        task: book_records.Task,
        at_wall_ms: int,
    ) -> None:
        """Marks a task as done; in a gang, all tasks of the step.

        Args:
            job: Job of the task.
            step: Step of the task.
            task: Task that succeeded.
            at_wall_ms: Unix time in milliseconds at which the end was recorded.
        """
        completed = step.tasks if step.spec.is_gang else [task]
        for each in completed:
            each.is_done = True
            step.waiting.pop(each.ref.task_index, None)
        step.done_count += len(completed)
        self.open_work.remove_tasks(job, step.spec, len(completed))
        job.has_done_task = True
        job.note_done()
        self.update_ready(job, step)
        if not step.is_complete:
            return
        job.incomplete_steps -= 1
        if job.incomplete_steps == 0:
            self.end_job(job, specs.JobState.COMPLETED, at_wall_ms)
            return
        _, occurrence, number = step.key
        for later in job.list_followers(number):
            following = job.steps[occurrence, later]
            following.unfinished_dependencies -= 1
            self.update_ready(job, following)

    def _requeue_task(
        self,
        job: book_records.Job,
        step: book_records.Step,
        task: book_records.Task,
    ) -> None:
        if task.runs or task.is_done or not job.is_open:
            return
        step.waiting[task.ref.task_index] = None
        self.update_ready(job, step)

    def _lose_run(
        self,
        incarnation: specs.WorkerIncarnation,
        ref: specs.TaskRef,
        run: int,
        checkpoint: str,
    ) -> None:
        removed = self._remove_run(incarnation, specs.TaskRef(*ref), run)
        if removed is not None:
            if checkpoint:
                removed[2].checkpoint = checkpoint
            self._requeue_task(*removed)
