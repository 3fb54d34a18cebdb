"""Steps for the authentication of peer links, over real sockets."""

import pathlib
import shutil
import socket
import tempfile
from unittest import mock

from behave import given
from behave import then
from behave import when
import gevent
import gevent.queue

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import settings as core_settings
from bambookeel.net import links
from bambookeel.net import tls
from bambookeel.runtime import logs
from features.fakes import fake_authority

# Long enough for any machine; no check depends on its length.
_WAIT_TIMEOUT_S = 20
_TIMEOUT_MS = 5_000


@given('an authority "first" and a folder of certificates')
def prepare_folder(context):
    context.folder = pathlib.Path(tempfile.mkdtemp())
    context.add_cleanup(shutil.rmtree, context.folder)
    context.authorities = {
        name: fake_authority.FakeAuthority(name) for name in ("first", "second")
    }
    context.tls = {}
    context.events = gevent.queue.Queue()
    patched = mock.patch.object(
        logs, "log_event", lambda name, **_: context.events.put(name)
    )
    patched.start()
    context.add_cleanup(patched.stop)


def _write_files(context, process, authority, name):
    issuer = context.authorities[authority]
    certificate, key = issuer.issue_certificate(name)
    files = {
        "certificate_file": certificate,
        "key_file": key,
        "authority_file": issuer.get_pem(),
    }
    paths = {}
    for field, content in files.items():
        path = context.folder / f"{process}-{field}.pem"
        # The file is replaced atomically, as an operator should replace it.
        fresh = path.with_suffix(".new")
        fresh.write_bytes(content)
        fresh.replace(path)
        paths[field] = str(path)
    return core_settings.TlsSettings(**paths)


@given('{process} has a certificate of "{authority}" for "{name}"')
def make_certificate(context, process, authority, name):
    settings = _write_files(context, process, authority, name)
    context.tls[process] = tls.PeerTls.from_config(settings, _TIMEOUT_MS)


@given("{process} has no certificate")
def set_no_tls(context, process):
    context.tls[process] = None


def _build_links(context, process, role, peers, listen):
    peer_tls = context.tls[process]
    settings = links.LinkSettings(
        listen,
        peers,
        250,
        _TIMEOUT_MS,
        wrap_client=peer_tls.wrap_client if peer_tls else None,
        wrap_server=peer_tls.wrap_server if peer_tls else None,
        is_certified_for=peer_tls.is_certified_for if peer_tls else None,
    )
    identity = messages.Hello(
        ids.ProcessId(process),
        role,
        ids.DataCentre("tamworth"),
        ids.Incarnation(1),
        ids.LinkNumber(0),
    )
    delivered = gevent.queue.Queue()
    built = links.PeerLinks(settings, identity, delivered.put)
    context.add_cleanup(built.close)
    return built, delivered


@when("control-0 dials entry-0")
def dial_peer(context):
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        listen = f"127.0.0.1:{probe.getsockname()[1]}"
    context.entry, context.at_entry = _build_links(
        context,
        "entry-0",
        messages.ProcessRole.ENTRY,
        {"control-0": "127.0.0.1:1"},
        listen,
    )
    context.control, context.at_control = _build_links(
        context,
        "control-0",
        messages.ProcessRole.CONTROL,
        {"entry-0": listen},
        "127.0.0.1:1",
    )
    context.entry.listen()
    dial_task = gevent.spawn(context.control.dial_forever, "entry-0")
    context.add_cleanup(dial_task.kill)


def _wait_for(delivered, expected_type):
    while True:
        event = delivered.get(timeout=_WAIT_TIMEOUT_S)
        if isinstance(event, expected_type):
            return event


@then("both have a link and a message arrives")
def check_link_and_message(context):
    assert _wait_for(context.at_control, links.LinkUp).peer == "entry-0"
    assert _wait_for(context.at_entry, links.LinkUp).peer == "control-0"
    message = messages.Subscribe(ids.StateVersion(7), 1)
    assert context.control.send("entry-0", message)
    assert _wait_for(context.at_entry, links.Received).message == message


@then('"{name}" is logged and {process} never had a link')
def check_refused(context, name, process):
    # Waits for two events, since the next dial must be refused as well.
    for _ in range(2):
        while context.events.get(timeout=_WAIT_TIMEOUT_S) != name:
            pass
    delivered_at = {
        "control-0": context.at_control,
        "entry-0": context.at_entry,
    }
    assert delivered_at[process].empty(), delivered_at[process].get()


def _get_link(context):
    # pylint: disable-next=protected-access
    return context.control._links["entry-0"]


@when(
    'the certificates are replaced by those of "{authority}" and the link is'
    " closed"
)
def replace_certificates(context, authority):
    for process in ("control-0", "entry-0"):
        _write_files(context, process, authority, process)
    _get_link(context).close()


@then('the peer\'s certificate is signed by "{authority}"')
def check_issuer(context, authority):
    # pylint: disable-next=protected-access
    certificate = _get_link(context)._socket.getpeercert()
    issuer = dict(pair for group in certificate["issuer"] for pair in group)
    assert issuer["commonName"] == authority, issuer


@when("the key file of entry-0 is made invalid after it was loaded")
def break_key(context):
    path = context.folder / "entry-0-key_file.pem"
    path.write_text("no key", encoding="utf-8")
