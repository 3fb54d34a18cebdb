"""Stand-in of the service that approves workers for steps."""

import http.server
import json
import secrets
import socketserver
import threading
import time

# Calls that may wait before the next one is answered with 429.
MAX_WAITING = 32


class _Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    allow_reuse_address = True

    def handle_error(self, request, client_address):
        """Does nothing: clients reset their connections after each call."""


class Advisor:
    """Approves every worker for every step, one call at a time."""

    def __init__(self, decision_ms, period_ms, validity_ms):
        self.settings = {
            "decision_ms": decision_ms,
            "period_ms": period_ms,
            "validity_ms": validity_ms,
        }
        self.address = ""
        self.tickets = {}
        self.questions = {}
        self._turn = threading.Lock()
        self._waiting = 0

    def open(self, site):
        """Opens its socket on a free port."""
        advisor = self

        class Handler(http.server.BaseHTTPRequestHandler):
            """Handles one connection."""

            protocol_version = "HTTP/1.1"

            def log_message(self, *arguments):
                """Does nothing."""

            def do_POST(self):
                """Answers a question."""
                size = int(self.headers.get("Content-Length") or 0)
                status, body = advisor.answer(json.loads(self.rfile.read(size)))
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

        server = _Server((site.get_ip(91), 0), Handler)
        self.address = "%s:%d" % server.server_address
        threading.Thread(target=server.serve_forever, daemon=True).start()

    def answer(self, question):
        """Returns status and body of the answer to a question."""
        if self._waiting >= MAX_WAITING:
            return 429, {}
        self._waiting += 1
        with self._turn:
            self._waiting -= 1
            workers = question["workers"]
            time.sleep(
                (
                    self.settings["decision_ms"]
                    + self.settings["period_ms"] * len(workers)
                )
                / 1000
            )
            job = question["step"].split(".")[0]
            self.questions[job] = self.questions.get(job, 0) + 1
            approved = []
            for worker in workers:
                ticket = secrets.token_hex(6)
                until = time.monotonic() + self.settings["validity_ms"] / 1000
                self.tickets[ticket] = (question["step"], worker, until)
                approved.append([worker, ticket])
            return 200, {"approved": approved}

    def is_valid(self, ticket, task, worker):
        """Returns whether a ticket lets a worker start a subtask."""
        step, holder, until = self.tickets.get(ticket, ("", "", 0.0))
        is_of_step = task.rpartition(".")[0] == step
        return is_of_step and holder == worker and time.monotonic() < until
