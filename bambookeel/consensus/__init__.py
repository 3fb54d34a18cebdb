"""The replicated log: election, replication and membership, without I/O."""
