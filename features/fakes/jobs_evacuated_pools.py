"""Simulates pools of which a data centre is evacuated."""

from features.fakes import jobs_evacuations
from features.fakes import jobs_pools

NORTH = "north"
SOUTH = "south"


class EvacuatedPoolsSimulation(jobs_pools.PoolsSimulation):
    """Pools whose instances are in two data centres."""

    def __init__(self, members, northern, spare, northern_spare):
        """Places instances.

        Args:
            members: Number of instances of each pool.
            northern: Number of those among them that are in the north.
            spare: Number of spare instances.
            northern_spare: Number of those among them that are in the north.
        """
        super().__init__(1, members, spare)
        for pool, count in (
            *((pool, northern) for pool in self.pools),
            (jobs_pools.SPARE, northern_spare),
        ):
            for i, worker in enumerate(self.list_workers(pool)):
                worker.data_centre = NORTH if i < count else SOUTH
        self.start_leader()
        self.advance(500)

    def evacuate(self, data_centre):
        """Begins the evacuation of a data centre."""
        self.events = []
        return jobs_evacuations.change(self, data_centre, True)

    def list_usable(self, pool):
        """Lists the workers of a pool outside evacuated data centres."""
        return [
            worker
            for worker in self.list_workers(pool)
            if worker.data_centre not in self.evacuated
        ]
