"""Thin daemons: read settings, build the parts, supervise them."""
