"""Behaviour tests: one folder for each promise, steps and fakes beside them."""
