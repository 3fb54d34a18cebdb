"""HTTP application for the readiness checks of a load balancer."""

from collections.abc import Callable

from bambookeel.net import json_answers


class ReadyApp(json_answers.JsonApp):
    """Tells the load balancer whether to send callers to this node."""

    def __init__(self, find_unready_reason: Callable[[], str]) -> None:
        self._find_unready_reason = find_unready_reason

    def respond(self, environ: json_answers.Environ) -> json_answers.Response:
        """Responds to a readiness check of the load balancer."""
        reason = self._find_unready_reason()
        if reason:
            return json_answers.build_error(503, reason)
        return 200, b"{}", 0
