"""Decisions on pools, availability budgets, waves, moves and placement."""
