"""Parts of a machine that the kinds of clients and of bytes can use."""

# Largest body of the control port, and of a configuration.
_LARGE_BYTES = 4 * 1024 * 1024

# Parts of the pools' bytes, and the least size of each.
POOLS = {
    "heads": (0.10, 1024 * 1024),
    "small": (0.10, 1024 * 1024),
    "callers": (0.24, 2 * 1024 * 1024),
    "control": (0.17, _LARGE_BYTES),
    "documents": (0.17, _LARGE_BYTES),
    "answers": (0.10, 1024 * 1024),
    "peers": (0.12, _LARGE_BYTES),
}
# Parts of the connections. Most connections of a leader are from workers.
CONNECTION_PARTS = {
    "callers": 0.30,
    "control": 0.50,
    "peers": 0.15,
    "ready": 0.025,
    "metrics": 0.025,
}
