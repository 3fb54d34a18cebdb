"""What the other tasks of a control process may read of the replica.

The replica publishes a new immutable view before it acknowledges a change, so
whoever reads the view sees every change acknowledged by this process.
"""

import dataclasses

from bambookeel.core import ids
from bambookeel.state import model


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaView:
    """The replica's state and role at one moment.

    Attributes:
        state: The applied state.
        leader: The leader as far as known; empty for none.
        term: The current term.
        is_leader: Whether this replica leads the term.
        leads_until_ms: Until when no other leader can have committed
            anything, on the own monotonic clock; 0 on a follower.
    """

    state: model.State
    leader: ids.ProcessId
    term: ids.Term
    is_leader: bool
    leads_until_ms: int

    def leads(self, now_ms: int) -> bool:
        """Tells whether this replica may answer for the whole deployment.

        Args:
            now_ms: The time.

        Returns:
            Whether it is leader and within its lease.
        """
        return self.is_leader and now_ms < self.leads_until_ms
