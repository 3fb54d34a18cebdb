"""Jobs of teams: the replicated book, placing, limits and upkeep. Pure."""
