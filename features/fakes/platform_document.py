"""The configuration that tests of the users' platform submit."""

HOST = "jobs.example"
KEY = "key-of-the-team"


def build_document(version=1, has_advisor=False):
    """Builds a configuration with one queue."""
    timings = {"decision_ms": 50, "period_ms": 2, "validity_ms": 6000}
    return {
        "version": version,
        "routes": [
            {
                "name": "r-orders",
                "host": HOST,
                "path_prefix": "/orders/",
                "kind": "non_idempotent",
                "timeout_ms": 3000,
                "target_latency_ms": 3600,
                "priority": 0,
                "service": "pack",
                "max_attempts": 3,
                "slack_factor": 1.6,
                "public": False,
                **({"advisor": timings} if has_advisor else {}),
            }
        ],
        "services": [
            {
                "name": "pack",
                "health_path": "/healthz",
                "max_conns": 64,
                "protocol": "h1",
                "tls": False,
                "enforces_capacity": True,
                "standby": False,
            }
        ],
        "limits": {"max_body_bytes": 262144},
        "tenants": [
            {
                "name": "t1",
                "api_keys": [KEY],
                "priority": 1,
                "weight": 28,
                "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0},
            }
        ],
    }
