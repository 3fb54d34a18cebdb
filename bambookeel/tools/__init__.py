"""Commands for operators and developers."""
