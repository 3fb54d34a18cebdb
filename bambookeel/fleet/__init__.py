"""Plans maintenance, moves and job placement within availability budgets."""
