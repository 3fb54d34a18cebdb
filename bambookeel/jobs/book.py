"""The job book: every job, task and run that must survive.

Replicas apply the same commands in the same order and so hold the same book.
Beside the jobs it keeps what the scheduler looks up often: waiting tasks by
queue, runs by worker, and what each team has running.
"""

from bambookeel.configuration import document as configuration
from bambookeel.core import faults
from bambookeel.jobs import book_records
from bambookeel.jobs import book_use
from bambookeel.jobs import commands
from bambookeel.jobs import instance_records
from bambookeel.jobs import specs


class Book:
    """All replicated state of jobs, with its look-ups."""

    def __init__(self) -> None:
        self.configuration = configuration.EMPTY
        # Queues that a later configuration dropped; their jobs go on.
        self.former_queues: dict[str, configuration.Queue] = {}
        self.jobs: dict[str, book_records.Job] = {}
        self.instances = instance_records.InstanceRecords()
        # Steps with waiting tasks whose earlier steps have ended, by queue.
        self.ready: dict[
            str, dict[book_records.StepKey, book_records.Step]
        ] = {}
        self.assigned_runs: dict[
            specs.WorkerIncarnation, dict[specs.TaskRef, book_records.AssignedRun]
        ] = {}
        self.usage = book_use.Usage()
        # Jobs of each queue that have not begun.
        self.pending: dict[str, int] = {}
        # Open jobs of each queue, in the order of their admission.
        self.open_jobs: dict[str, dict[str, None]] = {}

    def apply(self, command: commands.Command) -> None:
        """Applies one command.

        Args:
            command: The command.
        """
        match command:
            case commands.PutConfiguration(document):
                if document.version > self.configuration.document.version:
                    self.former_queues.update(self.configuration.queues)
                    self.configuration = configuration.View(document)
            case commands.AdmitJob():
                self._admit(command)
            case commands.CancelJob(job, at_wall_ms):
                found = self.jobs.get(job)
                if found is not None and found.is_open:
                    self._end_job(found, specs.JobState.CANCELLED, at_wall_ms)
            case commands.DropJobs(jobs):
                for job in jobs:
                    self.jobs.pop(job, None)
            case commands.AssignRuns() | commands.EndRuns():
                self._apply_to_runs(command)
            case commands.LoseRuns(life, _, runs):
                for task, run, saved in runs:
                    self._lose_run(life, task, run, saved)
            case _:
                instance_records.apply_to_instances(self.instances, command)

    def _apply_to_runs(
        self, command: commands.AssignRuns | commands.EndRuns
    ) -> None:
        match command:
            case commands.AssignRuns(life, heard, runs):
                for assignment in runs:
                    self._assign(life, heard, assignment)
            case commands.EndRuns(life, ends, at_wall_ms):
                for ended in ends:
                    self._end_run(life, ended, at_wall_ms)

    def find_queue(self, name: str) -> configuration.Queue | None:
        """Finds a queue, also one that is no longer configured.

        Args:
            name: Its name.

        Returns:
            The queue, or None when it was never configured.
        """
        return self.configuration.queues.get(name) or self.former_queues.get(name)

    def get_task(self, ref: specs.TaskRef) -> book_records.Task | None:
        """Finds a task.

        Args:
            ref: Its name.

        Returns:
            The task, or None when there is no such task.
        """
        step = self.get_step(ref)
        if step is None or not 0 <= ref.task_index < len(step.tasks):
            return None
        return step.tasks[ref.task_index]

    def get_step(self, ref: specs.TaskRef) -> book_records.Step | None:
        """Finds the step of a task.

        Args:
            ref: The task's name.

        Returns:
            The step, or None when there is no such step.
        """
        job = self.jobs.get(ref.job)
        if job is None:
            return None
        return job.steps.get((ref.occurrence, ref.step))

    def _admit(self, command: commands.AdmitJob) -> None:
        if command.job in self.jobs:
            return
        spec = command.spec
        steps: dict[tuple[int, int], book_records.Step] = {}
        for occurrence in range(max(1, spec.occurrences)):
            due_wall_ms = spec.get_due_wall_ms(occurrence)
            for i, step in enumerate(spec.steps):
                key = (command.job, occurrence, i)
                tasks = [
                    book_records.Task(
                        specs.TaskRef(command.job, occurrence, i, index)
                    )
                    for index in range(step.count)
                ]
                steps[occurrence, i] = book_records.Step(
                    key,
                    step,
                    due_wall_ms,
                    tasks,
                    len(set(step.after)),
                    waiting=dict.fromkeys(range(step.count)),
                )
        job = book_records.Job(
            command.job,
            command.queue,
            command.team,
            spec,
            command.at_wall_ms,
            specs.JobState.WAITING,
            0,
            steps,
            len(steps),
        )
        self.jobs[command.job] = job
        self.pending[job.queue] = self.pending.get(job.queue, 0) + 1
        self.open_jobs.setdefault(job.queue, {})[job.job] = None
        for step_run in steps.values():
            self._refresh_ready(job, step_run)

    def _refresh_ready(
        self, job: book_records.Job, step: book_records.Step
    ) -> None:
        """Puts a step among the ready ones, or takes it away.

        Args:
            job: Its job.
            step: The step.
        """
        ready = self.ready.setdefault(job.queue, {})
        if job.is_open and step.waiting and step.unfinished_dependencies == 0:
            ready[step.key] = step
            return
        ready.pop(step.key, None)

    def _set_active(self, job: book_records.Job) -> None:
        if job.state is specs.JobState.WAITING:
            job.state = specs.JobState.ACTIVE
            self.pending[job.queue] -= 1

    def _end_job(
        self, job: book_records.Job, state: specs.JobState, at_wall_ms: int
    ) -> None:
        self._set_active(job)
        job.state = state
        job.ended_wall_ms = at_wall_ms
        self.open_jobs[job.queue].pop(job.job, None)
        ready = self.ready.get(job.queue, {})
        for step in job.steps.values():
            ready.pop(step.key, None)

    def _assign(
        self,
        life: specs.WorkerIncarnation,
        heard: int,
        assignment: commands.Assignment,
    ) -> None:
        ref = specs.TaskRef(*assignment.task)
        task = self.get_task(ref)
        job = self.jobs[ref.job]
        step = self.get_step(ref)
        faults.check_invariant(
            task is not None and step is not None and not task.is_done,
            f"a run of {ref}, which is not to run, is assigned",
        )
        assert task is not None and step is not None
        faults.check_invariant(
            not task.runs or step.spec.allows_copies,
            f"a second run of {ref} is assigned beside {task.runs}",
        )
        faults.check_invariant(
            assignment.run > task.last_run,
            f"run {assignment.run} of {ref} after run {task.last_run}",
        )
        task.last_run = assignment.run
        task.runs[assignment.run] = life
        step.waiting.pop(ref.task_index, None)
        self.assigned_runs.setdefault(life, {})[ref] = book_records.AssignedRun(
            ref, assignment.run, heard, assignment.ticket
        )
        self.usage.add(job, step.spec)
        self._set_active(job)
        self._refresh_ready(job, step)

    def _take_run(
        self, life: specs.WorkerIncarnation, ref: specs.TaskRef, run: int
    ) -> (
        tuple[book_records.Job, book_records.Step, book_records.Task] | None
    ):
        """Takes a run from its worker.

        Args:
            life: The worker.
            ref: The task.
            run: The run.

        Returns:
            The job, step and task; None when the run is not held there.
        """
        held = self.assigned_runs.get(life, {})
        found = held.get(ref)
        if found is None or found.run != run:
            return None
        del held[ref]
        if not held:
            del self.assigned_runs[life]
        job = self.jobs[ref.job]
        step = job.steps[ref.occurrence, ref.step]
        task = step.tasks[ref.task_index]
        del task.runs[run]
        self.usage.remove(job, step.spec)
        return job, step, task

    def _end_run(
        self,
        life: specs.WorkerIncarnation,
        ended: commands.EndedRun,
        at_wall_ms: int,
    ) -> None:
        ref = specs.TaskRef(*ended.task)
        taken = self._take_run(life, ref, ended.run)
        if taken is None:
            return
        job, step, task = taken
        if ended.saved:
            task.saved = ended.saved
        if not job.is_open or task.is_done:
            return
        if ended.how is specs.RunEnd.DONE and not step.spec.is_standing:
            self._finish_tasks(job, step, task, at_wall_ms)
            return
        if ended.how is specs.RunEnd.FAILED and not step.spec.is_standing:
            task.failures += 1
            step.failures += 1
            counted = step.failures if step.spec.is_gang else task.failures
            queue = self.find_queue(job.queue)
            if queue is not None and counted >= max(1, queue.max_attempts):
                self._end_job(job, specs.JobState.FAILED, at_wall_ms)
                return
        self._wait_again(job, step, task)

    def _finish_tasks(
        self,
        job: book_records.Job,
        step: book_records.Step,
        task: book_records.Task,
        at_wall_ms: int,
    ) -> None:
        """Notes a good end; one member's end stands for its whole gang.

        Args:
            job: The job.
            step: The step.
            task: The task.
            at_wall_ms: When it was noted.
        """
        finished = step.tasks if step.spec.is_gang else [task]
        for each in finished:
            each.is_done = True
            step.waiting.pop(each.ref.task_index, None)
        step.done += len(finished)
        self._refresh_ready(job, step)
        if not step.is_complete:
            return
        job.incomplete -= 1
        if job.incomplete == 0:
            self._end_job(job, specs.JobState.COMPLETED, at_wall_ms)
            return
        _, occurrence, number = step.key
        for later in range(number + 1, len(job.spec.steps)):
            if number in job.spec.steps[later].after:
                following = job.steps[occurrence, later]
                following.unfinished_dependencies -= 1
                self._refresh_ready(job, following)

    def _wait_again(
        self,
        job: book_records.Job,
        step: book_records.Step,
        task: book_records.Task,
    ) -> None:
        if task.runs or task.is_done or not job.is_open:
            return
        step.waiting[task.ref.task_index] = None
        self._refresh_ready(job, step)

    def _lose_run(
        self, life: specs.WorkerIncarnation, ref: specs.TaskRef, run: int, saved: str
    ) -> None:
        taken = self._take_run(life, specs.TaskRef(*ref), run)
        if taken is None:
            return
        job, step, task = taken
        if saved:
            task.saved = saved
        self._wait_again(job, step, task)

    # --- Restoring from a snapshot ---

    def restore_job(
        self,
        admitted: commands.AdmitJob,
        state: specs.JobState,
        ended_wall_ms: int,
    ) -> None:
        """Takes a job in as it was; its tasks and progress follow.

        Args:
            admitted: The command that brought it.
            state: Its state.
            ended_wall_ms: When it ended.
        """
        self._admit(admitted)
        job = self.jobs[admitted.job]
        if state is specs.JobState.WAITING:
            return
        self._set_active(job)
        if state is not specs.JobState.ACTIVE:
            self._end_job(job, state, ended_wall_ms)

    def restore_run(
        self, life: specs.WorkerIncarnation, held: book_records.AssignedRun
    ) -> None:
        """Gives a run back to its worker.

        Args:
            life: The worker.
            held: The run.
        """
        job = self.jobs[held.task.job]
        step = job.steps[held.task.occurrence, held.task.step]
        step.tasks[held.task.task_index].runs[held.run] = life
        self.assigned_runs.setdefault(life, {})[held.task] = held
        self.usage.add(job, step.spec)

    def restore_progress(self, job: book_records.Job) -> None:
        """Derives what a job's tasks imply, once they are all restored.

        Args:
            job: The job.
        """
        job.incomplete = 0
        for step in job.steps.values():
            step.done = sum(task.is_done for task in step.tasks)
            step.waiting = {
                task.ref.task_index: None
                for task in step.tasks
                if not task.is_done and not task.runs
            }
            job.incomplete += not step.is_complete
        for (occurrence, _), step in job.steps.items():
            step.unfinished_dependencies = sum(
                not job.steps[occurrence, earlier].is_complete
                for earlier in set(step.spec.after)
            )
            self._refresh_ready(job, step)
