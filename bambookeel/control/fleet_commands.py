"""Converts a fleet plan to commands on the replicated state.

All changes that use a pool's budget go into one command that checks the pool's
version. Of two plans that were made from the same budget, only one can then be
applied, even if the first one is committed late.
"""

from collections.abc import Iterator

import msgspec

from bambookeel.core import ids
from bambookeel.core import resources
from bambookeel.fleet import changes
from bambookeel.fleet import jobs
from bambookeel.fleet import records
from bambookeel.state import commands

_ACTOR = "planner"


def _list_instance_changes(
    change: changes.InstanceChange,
) -> Iterator[commands.TaggedChange]:
    """Yields the resource changes that store an instance's new record."""
    before, after = change.before, change.after
    expected = before.version
    if before.spec != after.spec:
        yield commands.wrap_change(
            commands.PutSpec(
                resources.Kind.INSTANCE,
                after.name,
                expected,
                msgspec.to_builtins(after.spec),
            )
        )
        # The change of the spec checks the version in the same command.
        expected = commands.ANY_VERSION
    yield commands.wrap_change(
        commands.PutStatus(
            resources.Kind.INSTANCE,
            after.name,
            expected,
            records.write_instance_status(after),
        )
    )


def _build_pool_guard(
    pool: records.Pool, status: resources.Status
) -> commands.TaggedChange:
    """Builds a status change that fails if the pool's version has changed."""
    return commands.wrap_change(
        commands.PutStatus(resources.Kind.POOL, pool.name, pool.version, status)
    )


def _list_other_changes(
    plan: changes.Plan,
) -> Iterator[tuple[str, commands.TaggedChange]]:
    """Yields changes that use no pool's budget, with the group of each."""
    for update in plan.statuses:
        if update.kind is resources.Kind.POOL:
            continue
        put_status = commands.PutStatus(
            update.kind,
            update.name,
            ids.StateVersion(update.version),
            update.status,
        )
        key = f"{update.kind.value}-{update.name}"
        yield key, commands.wrap_change(put_status)
    for job in plan.jobs:
        put_job = commands.PutStatus(
            resources.Kind.JOB,
            job.after.name,
            job.before.version,
            jobs.write_job_status(job.after),
        )
        # All jobs of a plan are committed together or not at all, as they share
        # workers and limits.
        yield "jobs", commands.wrap_change(put_job)
    for adoption in plan.adoptions:
        put_spec = commands.PutSpec(
            resources.Kind.INSTANCE,
            adoption.name,
            commands.MUST_NOT_EXIST,
            msgspec.to_builtins(adoption.spec),
        )
        yield f"adopt-{adoption.name}", commands.wrap_change(put_spec)


def build_commands(
    view: records.FleetView, plan: changes.Plan, prefix: str
) -> list[commands.Command]:
    """Builds the commands that commit a plan.

    Args:
        view: The view that the plan was made from.
        plan: Plan to commit.
        prefix: Prefix of the command ids, unique to this plan.

    Returns:
        The commands, each applied atomically: one for each pool with changes,
        one for all jobs, and one for each other resource.
    """
    groups: dict[str, list[commands.TaggedChange]] = {}
    pool_statuses = {
        change.name: change.status
        for change in plan.statuses
        if change.kind is resources.Kind.POOL
    }
    for change in plan.instances:
        group = groups.setdefault(f"pool-{change.guard_pool}", [])
        group.extend(_list_instance_changes(change))
    for pool in view.pools.values():
        key = f"pool-{pool.name}"
        if pool.name not in pool_statuses and key not in groups:
            continue
        status = pool_statuses.get(pool.name, pool.status)
        groups.setdefault(key, []).insert(0, _build_pool_guard(pool, status))
    for key, tagged in _list_other_changes(plan):
        groups.setdefault(key, []).append(tagged)
    return [
        commands.Command(ids.CommandId(f"{prefix}-{key}"), _ACTOR, tuple(group))
        for key, group in groups.items()
    ]
