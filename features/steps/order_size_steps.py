"""Steps for the size of answers, and for what is refused because of its own."""

import os
import socket
from unittest import mock

from behave import given
from behave import then
from behave import when
import msgspec

from bambookeel.configuration import document as configuration
from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.jobs import book_snapshot
from bambookeel.jobs import calls
from bambookeel.jobs import specs
from bambookeel.jobs import workers as worker_table
from bambookeel.net import links
from bambookeel.node import gateway
from bambookeel.node import leader_finder
from features.fakes import jobs_simulation
from features.steps import job_steps

_SMALL = specs.Resources(12, 1, 0)
_CHARACTERS = {"letters": "x", "control characters": "\x01", "umlauts": "ü"}


class _WideSimulation(jobs_simulation.JobsSimulation):
    """Simulation that keeps the size of the largest answer, as JSON."""

    def __init__(self, workers):
        self.largest = 0
        super().__init__(1, workers=0, faults=False)
        for number in range(workers):
            self.add_worker(f"w{number}", "pack")
            capacity = specs.Resources(64_000, 256_000, 0)
            self.workers[f"w{number}"].capacity = capacity
        self.run_duration_ms = 800

    def commit(self):
        """Commits the batch."""
        self.scheduler.take_batch()
        self.scheduler.take_log_events()
        return True

    def start_leader(self):
        """Starts a new leader from what is committed."""
        if self.term:
            book = self.scheduler.book
            self.committed = book_snapshot.encode_book(book)
        super().start_leader()

    def call(self, call):
        """Makes a call and returns its answer."""
        answer = super().call(call)
        if isinstance(answer, calls.WorkerOrders):
            size = len(msgspec.json.encode(answer))
            self.largest = max(self.largest, size)
        return answer


@given("a simulation of {count:d} wide worker")
@given("a simulation of {count:d} wide workers")
def create_simulation(context, count):
    context.sim = _WideSimulation(count)
    context.sim.advance(500)


def _submit(context, job, body, **step):
    step = specs.StepSpec(needs=_SMALL, estimate_ms=1_000, **step)
    job = job_steps.build_job_id(job)
    answer = context.sim.submit(job, specs.JobSpec(body, (step,)))
    assert answer == calls.Done(), answer


@when(
    'job "{job}" of {tasks:d} tasks with {count:d} {text} as its body is'
    " submitted"
)
def submit_long(context, job, tasks, count, text):
    _submit(context, job, count * _CHARACTERS[text], count=tasks)


@when(
    'a gang "{job}" of {tasks:d} tasks with {count:d} {text} as its body is'
    " submitted"
)
def submit_gang(context, job, tasks, count, text):
    body = count * _CHARACTERS[text]
    _submit(context, job, body, count=tasks, is_gang=True)


@when('job "{job}" of one step of 1 small task is submitted')
def submit_small(context, job):
    _submit(context, job, "body", count=1)


@given("reports that list {count:d} runs at most")
def limit_runs(context, count):
    limit = mock.patch.object(worker_table, "MAX_RUNS", count)
    limit.start()
    context.add_cleanup(limit.stop)


@when("{jobs:d} jobs of {tasks:d} tasks that need nothing are submitted")
def submit_idle(context, jobs, tasks):
    context.sim.run_duration_ms = 60_000
    for number in range(jobs):
        step = specs.StepSpec(tasks, estimate_ms=1_000)
        answer = context.sim.submit(
            f"{number:016x}", specs.JobSpec("", (step,))
        )
        assert answer == calls.Done(), answer


@then("no answer was larger than {size:d} bytes")
def check_size(context, size):
    assert 0 < context.sim.largest <= size, context.sim.largest


@then('{count:d} runs are assigned to worker "{name}"')
def check_assigned(context, count, name):
    life = context.sim.scheduler.term.workers.by_id[name].incarnation
    found = len(context.sim.scheduler.book.assigned_runs[life])
    assert found == count, found


@when("a job of {tasks:d} task with {count:d} {text} is checked")
@when("a job of {tasks:d} tasks with {count:d} {text} is checked")
def check_job(context, tasks, count, text):
    step = specs.StepSpec(tasks)
    spec = specs.JobSpec(count * _CHARACTERS[text], (step,))
    context.fault = specs.find_spec_fault(spec)


@when("a job of a gang of {tasks:d} tasks with {count:d} {text} is checked")
def check_gang(context, tasks, count, text):
    step = specs.StepSpec(tasks, is_gang=True)
    spec = specs.JobSpec(count * _CHARACTERS[text], (step,))
    context.fault = specs.find_spec_fault(spec)


@then('it is ""')
def check_accepted(context):
    assert not context.fault, context.fault


@then('it is "{fault}"')
def check_fault(context, fault):
    assert context.fault == fault, context.fault


@when("its run lapses with a checkpoint of {count:d} letters")
def lapse_with_checkpoint(context, count):
    worker = context.sim.workers["w0"]
    (run,) = worker.running.values()
    context.task = run.task
    run.saved = count * "x"
    context.sim.end_run(worker, run, specs.RunEnd.LAPSED)
    context.sim.advance(100)


@then("its task has no checkpoint")
def check_no_checkpoint(context):
    task = context.sim.scheduler.book.get_task(context.task)
    assert not task.checkpoint, len(task.checkpoint)


@when("a configuration of {count:d} queues without their service is put")
def put_faulty(context, count):
    queue = context.sim.build_document().queues[0]
    queues = tuple(
        msgspec.structs.replace(
            queue, name=f"q{number}", path_prefix=f"/{number}/"
        )
        for number in range(count)
    )
    context.answer = context.sim.put_document(
        configuration.Document(9, queues, (), ())
    )


@then("{count:d} faults are listed")
def check_faults(context, count):
    assert isinstance(context.answer, calls.Invalid), context.answer
    assert len(context.answer.faults) == count, len(context.answer.faults)


class _Channels:
    """Channels that note what is sent."""

    def __init__(self):
        self.sent = []

    def begin_sending(self, peer, message):
        """Notes a message."""
        self.sent.append((peer, message))


@given("a gateway")
def create_gateway(context):
    leader = ids.ProcessId("10.0.0.1:7000")
    view = leader_finder.LeaderView(leader, (), leader, 1, 2**62)
    context.channels = _Channels()
    context.gateway = gateway.Gateway(view, context.channels, False)


@when("a call of {size:d} random bytes is made")
def make_call(context, size):
    document = configuration.Document(1, (), (), (), os.urandom(size))
    context.answer = context.gateway.call(calls.PutDocument(document), 500)


@then("it is refused without being sent")
def check_refused(context):
    assert isinstance(context.answer, calls.BadRequest), context.answer
    assert not context.channels.sent


@given("a link")
def create_link(context):
    own, context.other = socket.socketpair()
    settings = links.LinkSettings("127.0.0.1:1", {}, 250, 1_000)
    context.link = links.Link(own, settings)


@when("a message of {size:d} bytes is queued")
def queue_message(context, size):
    message = messages.LeaderCall(1, bytes(size))
    context.was_queued = context.link.enqueue(message)


@then("it is not sent, and the link stays open")
def check_not_sent(context):
    assert not context.was_queued
    assert context.link.enqueue(messages.LinkHeartbeat(1))
    context.other.close()
