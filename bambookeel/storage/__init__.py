"""Files of a control replica: log, snapshots, term and identity."""
