"""Bytes of peer links, as metrics; the capacity figures are taken from them."""

import prometheus_client

SENT_BYTES = prometheus_client.Counter(
    "bambookeel_link_sent_bytes_total", "Bytes sent on peer links."
)
RECEIVED_BYTES = prometheus_client.Counter(
    "bambookeel_link_received_bytes_total", "Bytes received on peer links."
)
