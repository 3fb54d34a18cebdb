"""The resource API of operators."""
