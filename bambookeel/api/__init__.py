"""The HTTP API with which operators read and change resources."""
