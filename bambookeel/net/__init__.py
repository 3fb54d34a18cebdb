"""Peer links between processes and HTTP towards everyone else."""
