"""Jobs of teams: replicated job book, scheduling, instances. Does no I/O."""
