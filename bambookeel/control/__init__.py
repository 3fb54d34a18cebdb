"""Tasks of a control process: replica, streams, leases and planner."""
