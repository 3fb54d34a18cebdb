"""Builds the operators' API on a fake replica in the test's process."""

import hashlib

import gevent

from bambookeel.api import operator_app
from bambookeel.control import stream_task
from bambookeel.core import settings

ADDRESS = "127.0.0.1:1"


def build_app(replica, secret):
    """Builds the API's application and starts its stream task."""
    streams = stream_task.StreamTask(replica, lambda *_: True)
    replica.listeners.append(streams.mailbox)
    gevent.spawn(streams.run)
    control = settings.ControlSettings(
        process_id="control-0",
        data_centre="tamworth",
        api_listen=ADDRESS,
        admin_listen=ADDRESS,
        peer_listen=ADDRESS,
        data_folder="",
        control=(),
        entries=(),
        bootstrap_key_sha256=hashlib.sha256(secret.encode()).hexdigest(),
    )
    return operator_app.OperatorApp(control, replica, streams)
