"""Places and keys that reach a job, in the check of the job interface."""


def find_key(simulation, known):
    """Returns a key with which a job's team can reach it now, or None."""
    account = simulation.site.accounts[known.account]
    if not account.is_present or not find_path(simulation, known):
        return None
    return account.keys[0]


def list_keys(simulation, known):
    """Lists the keys that reach a job: its team's, and the one it came with."""
    site = simulation.site
    keys = set(site.accounts[known.account].keys)
    present = {k for a in site.accounts if a.is_present for k in a.keys}
    return sorted((keys | {known.key}) & present)


def list_paths(simulation, known):
    """Lists the places that reach a job: its queue's, and where it came in."""
    present = {route.path for route in simulation.site.routes}
    return sorted({find_path(simulation, known), known.entry} & present - {""})


def find_path(simulation, known):
    """Returns where a job's queue is now, or an empty string.

    The queue keeps its jobs when it moves.
    """
    return simulation.site.routes[known.route].path


def choose_job(simulation, source):
    """Chooses a job that its team can reach, with its key."""
    reachable = [
        known
        for known in simulation.oracle.jobs.values()
        if find_key(simulation, known) is not None
    ]
    if not reachable:
        return None, ""
    known = source.choice(reachable)
    return known, find_key(simulation, known)
