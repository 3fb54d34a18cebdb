"""A fake advisor that speaks the platform's protocol over a real socket."""

import http.server
import json
import threading


class FakeAdvisor:
    """Approves a fixed set of workers for every step, each with a ticket."""

    def __init__(self, address, approved):
        self.approved = approved
        # Bodies that are sent, one each, before any right answer.
        self.odd_bodies = []
        self.tickets = {}
        self.calls = []
        advisor = self

        class Handler(http.server.BaseHTTPRequestHandler):
            """Handles the requests of one connection."""

            def do_POST(self):  # pylint: disable=invalid-name
                """Answers a question."""
                size = int(self.headers["Content-Length"])
                question = json.loads(self.rfile.read(size))
                if advisor.odd_bodies:
                    body = advisor.odd_bodies.pop(0)
                else:
                    answer = advisor.decide(self.path, question)
                    body = json.dumps(answer).encode()
                self.send_response(200)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *arguments):
                """Writes no log of the requests."""

        self._server = http.server.ThreadingHTTPServer(address, Handler)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def decide(self, path, question):
        """Answers one question."""
        self.calls.append((path, question))
        rows = []
        for worker in question["workers"]:
            if worker in self.approved:
                ticket = f"ticket-{len(self.tickets)}"
                self.tickets[ticket] = (question["step"], worker)
                rows.append([worker, ticket])
        return {"approved": rows}

    def accepts(self, ticket, task, worker):
        """Returns whether a ticket allows a worker to start a task."""
        step = task.rpartition(".")[0]
        return self.tickets.get(ticket) == (step, worker)

    def close(self):
        """Closes the socket."""
        self._server.shutdown()
        self._server.server_close()
