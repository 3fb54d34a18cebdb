"""Metrics of the bytes on peer links, the source of the capacity figures."""

import prometheus_client

SENT_BYTES = prometheus_client.Counter(
    "bambookeel_link_sent_bytes_total", "Bytes sent on peer links."
)
RECEIVED_BYTES = prometheus_client.Counter(
    "bambookeel_link_received_bytes_total", "Bytes received on peer links."
)
