"""Steps for the command line, which is run as a subprocess."""

import os
import sys
import tempfile

from behave import given
from behave import then
from behave import when
import gevent.subprocess

from bambookeel.net import http_server
from features.fakes import fake_api
from features.fakes import fake_replica

_SECRET = "first.key"


class _AnswerLosingReplica(fake_replica.FakeReplica):
    """Commits on another replica and can drop the answers."""

    def __init__(self, target):
        super().__init__()
        self._target = target

    def put(self, message):
        self._target.loses_answers = self.loses_answers
        accepted = self._target.put(message)
        self._target.loses_answers = False
        self.view = self._target.view
        return accepted


@given("two control processes that serve the command line")
def serve_control(context):
    replica = fake_replica.FakeReplica()
    second_app = fake_api.build_app(replica, _SECRET)
    context.first_replica = _AnswerLosingReplica(replica)
    first_app = fake_api.build_app(context.first_replica, _SECRET)
    context.servers = []
    for app in (first_app, second_app):
        server = http_server.Server("127.0.0.1:0", app)
        server.start()
        context.servers.append(server)
        context.add_cleanup(server.stop, 0)
    context.addresses = ",".join(
        f"127.0.0.1:{server.server_port}" for server in context.servers
    )


@given("the first control process commits but loses its answers")
def lose_first_answers(context):
    context.first_replica.loses_answers = True


@given("the first control process is stopped")
def stop_first(context):
    context.servers[0].stop(0)


@given("both control processes are stopped")
def stop_both(context):
    for server in context.servers:
        server.stop(0)


def _start(context, arguments):
    environment = dict(
        os.environ, BAMBOOKEEL_ADDRESS=context.addresses, BAMBOOKEEL_KEY=_SECRET
    )
    return gevent.subprocess.Popen(
        [sys.executable, "-m", "bambookeel.tools.cli", *arguments],
        env=environment,
        stdout=gevent.subprocess.PIPE,
        stderr=gevent.subprocess.STDOUT,
        text=True,
    )


@when('bambookeel runs "{arguments}" with the file')
def run_with_file(context, arguments):
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        file.write(context.text)
        file.flush()
        run_command(context, arguments.replace("FILE", file.name))


@when('bambookeel runs "{arguments}"')
def run_command(context, arguments):
    process = _start(context, arguments.split())
    context.printed, _ = process.communicate()
    context.exit_status = process.returncode


@then('it exits {status:d} and prints "{text}"')
def check_exit(context, status, text):
    assert context.exit_status == status, context.printed
    assert text in context.printed, context.printed


@when("bambookeel watches from version 0 until 1 line")
def watch_lines(context):
    process = _start(context, ["watch", "--from_version=0"])
    context.line = process.stdout.readline().strip()
    process.kill()
    process.wait()


@then('the line is "{text}"')
def check_line(context, text):
    assert context.line == text, context.line
