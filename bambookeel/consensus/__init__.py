"""The replicated log as pure steps: election, replication, membership."""
