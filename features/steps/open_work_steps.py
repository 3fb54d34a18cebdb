"""Steps for the open work that admission is based on."""

from behave import given
from behave import then
from behave import when

from bambookeel.jobs import calls
from bambookeel.jobs import specs
from features.fakes import jobs_backlog
from features.fakes import jobs_simulation


class _CountingDict(dict):
    """A dict that counts the values which are read from it."""

    reads = 0

    def __getitem__(self, key):
        self.reads += 1
        return super().__getitem__(key)

    def get(self, key, default=None):
        self.reads += 1
        return super().get(key, default)

    def values(self):
        self.reads += len(self)
        return super().values()

    def items(self):
        self.reads += len(self)
        return super().items()

    def __iter__(self):
        self.reads += len(self)
        return super().__iter__()


@given("a pool of {count:d} workers that is full")
def create_full_pool(context, count):
    # The load of a team is measured only if it has a cap.
    context.sim = jobs_simulation.JobsSimulation(
        1, count, cap_milli=10**9, faults=False
    )
    context.sim.advance(500)
    context.submitted = 0


def _submit(context):
    context.submitted += 1
    job = f"{context.submitted:016x}"
    step = specs.StepSpec(
        count=4,
        needs=specs.Resources(9_000, 100, 0),
        estimate_ms=20,
    )
    spec = specs.JobSpec("body", (step,))
    return context.sim.scheduler.handle(
        calls.SubmitJob(
            jobs_simulation.HOST, f"/o/{job}", "key-coach", job, spec
        ),
        context.sim.read_now(),
    )()


@when("a submission is handled beside {few:d} and beside {many:d} open jobs")
def count_reads(context, few, many):
    context.reads = []
    book = context.sim.scheduler.book
    for count in (few, many):
        while len(book.jobs) < count:
            _submit(context)
        counted = [_CountingDict(book.jobs)]
        book.jobs = counted[0]
        for index in (book.open_jobs, book.ready):
            for queue, found in index.items():
                index[queue] = _CountingDict(found)
                counted.append(index[queue])
        _submit(context)
        context.reads.append(sum(each.reads for each in counted))


@then("both looked at equally many jobs")
def check_reads(context):
    assert context.reads[0] == context.reads[1], context.reads


@when("jobs of all kinds run with seeds {first:d} to {last:d}")
def run_jobs(context, first, last):
    context.violations = {
        seed: violations
        for seed in range(first, last + 1)
        if (violations := jobs_backlog.simulate(seed))
    }


@then("the open work was that of the jobs at all times")
def check_violations(context):
    assert not context.violations, context.violations
