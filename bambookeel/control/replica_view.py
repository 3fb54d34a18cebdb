"""The view of the replica that other tasks of a control process read.

The replica publishes a new immutable view before it acknowledges a change, so
a reader of the view sees every change that this process has acknowledged.
"""

import dataclasses

from bambookeel.core import ids
from bambookeel.state import model


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaView:
    """State and role of the replica at one time.

    Attributes:
        state: The applied state.
        leader: Process id of the known leader; empty if none is known.
        term: The current term.
        is_leader: Whether this replica leads the term and has committed an
            entry of it.
        leads_until_ms: End of the leader's lease, before which no other leader
            can have committed an entry, on this process's monotonic clock; 0 on
            a follower.
    """

    state: model.State
    leader: ids.ProcessId
    term: ids.Term
    is_leader: bool
    leads_until_ms: int

    def leads(self, now_ms: int) -> bool:
        """Returns whether this replica leads within its lease.

        Only then may it answer for the whole deployment.

        Args:
            now_ms: Current time on this process's monotonic clock.

        Returns:
            False once the lease has ended, even if no other leader is known.
        """
        return self.is_leader and now_ms < self.leads_until_ms
