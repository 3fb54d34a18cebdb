"""Tasks of the control role: replica, state streams, leases, planner."""
