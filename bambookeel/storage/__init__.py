"""Files of a control replica: synced log, snapshots, term and identity."""
