"""Builds and runs a control process from its settings."""

import functools
import secrets

from returns import result

from bambookeel.api import operator_app
from bambookeel.control import allotment_task
from bambookeel.control import control_metrics
from bambookeel.control import events
from bambookeel.control import lease_task
from bambookeel.control import planner_task
from bambookeel.control import replica_task
from bambookeel.control import stream_task
from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import settings as core_settings
from bambookeel.net import admin_app
from bambookeel.net import http_server
from bambookeel.net import link_config
from bambookeel.net import links
from bambookeel.runtime import clock
from bambookeel.runtime import logs
from bambookeel.runtime import supervisor
from bambookeel.runtime import timers
from bambookeel.storage import folder
from bambookeel.storage import store as replica_store


class ControlProcess:
    """Owns the tasks, links and servers of a control process."""

    def __init__(
        self,
        settings: core_settings.ControlSettings,
        replica: replica_task.ReplicaTask,
    ) -> None:
        self._settings = settings
        self._stopping = False
        self._supervisor = supervisor.Supervisor("control")
        self._timers = timers.TimerService()
        self._links = self._build_links()
        self._replica = replica
        self._leases = lease_task.LeaseTask(
            settings.leases, replica, self._links.send
        )
        self._streams = stream_task.StreamTask(
            replica,
            self._links.send,
            tuple(ids.ProcessId(p.process_id) for p in settings.entries),
        )
        self._allotments = allotment_task.AllotmentTask(
            ids.ProcessId(settings.process_id),
            settings.leases,
            replica,
            self._send_or_deliver,
            has_jobs=bool(settings.platform_address),
        )
        listeners = [self._streams.mailbox, self._leases.mailbox]
        self._planner: planner_task.PlannerTask | None = None
        if settings.platform_address:
            self._planner = planner_task.PlannerTask(
                settings, replica, self._allotments.mailbox
            )
            listeners.append(self._planner.mailbox)
        replica.connect(self._links.send, listeners)
        self._app = operator_app.OperatorApp(settings, replica, self._streams)
        control_metrics.register_control_metrics(replica, self._streams)
        self._api = http_server.Server(settings.api_listen, self._app)
        self._admin = http_server.Server(
            settings.admin_listen, admin_app.AdminApp(self.find_unready_reason)
        )

    @classmethod
    def from_config(
        cls, settings: core_settings.ControlSettings
    ) -> "ControlProcess":
        """Opens the data folder and builds the process; opens no socket yet.

        Args:
            settings: Validated settings.

        Returns:
            The process, not started.
        """
        opened = folder.open_folder(settings.data_folder).bind(
            lambda locked: replica_store.open_store(
                locked, ids.ProcessId(settings.process_id)
            )
        )
        match opened:
            case result.Failure(fault):
                supervisor.end_process(f"{fault.place}: {fault.message}")
        store, loaded = opened.unwrap()
        if loaded.torn_bytes:
            logs.log_event("torn_log_cut", cut_bytes=loaded.torn_bytes)
        control = tuple(ids.ProcessId(p.process_id) for p in settings.control)
        replica = replica_task.ReplicaTask(
            control, settings.consensus, store, loaded, secrets.randbits(62)
        )
        return cls(settings, replica)

    def _build_links(self) -> links.PeerLinks:
        settings = self._settings
        link_settings = link_config.build_link_settings(settings)
        identity = messages.Hello(
            ids.ProcessId(settings.process_id),
            messages.ProcessRole.CONTROL,
            ids.DataCentre(settings.data_centre),
            ids.Incarnation(clock.read_wall_ms()),
            ids.LinkNumber(0),
        )
        return links.PeerLinks(link_settings, identity, self._deliver)

    def _send_or_deliver(
        self, peer: ids.ProcessId, message: messages.Message
    ) -> bool:
        """Sends a message to a process, which may be this one.

        Args:
            peer: Process id of the receiver.
            message: Message to send.

        Returns:
            Whether the message was accepted for sending or delivered to a task
            of this process.
        """
        if peer == self._settings.process_id:
            self._deliver(links.Received(peer, message))
            return True
        return self._links.send(peer, message)

    def _deliver(
        self, event: links.LinkUp | links.Received | links.LinkDown
    ) -> None:
        """Passes an event of the links to the tasks that handle it.

        Args:
            event: A change of a link's status, or a received message.
        """
        match event:
            case links.Received(peer, messages.Subscribe() as message):
                self._streams.mailbox.put(events.FromPeer(peer, message))
            case links.Received(peer, messages.EntryHeartbeat() as message):
                self._leases.mailbox.put(events.FromPeer(peer, message))
                self._streams.mailbox.put(events.FromPeer(peer, message))
            case links.Received(peer, messages.AllotmentRequest() as message):
                self._allotments.mailbox.put(events.FromPeer(peer, message))
            case links.Received(peer, messages.AllotmentReply() as message):
                if self._planner is not None:
                    self._planner.mailbox.put(events.FromPeer(peer, message))
            case links.Received(peer, message):
                self._replica.mailbox.put(events.FromPeer(peer, message))
            case links.LinkDown(peer):
                self._streams.mailbox.put(events.PeerDown(peer))
                self._replica.mailbox.put(events.PeerDown(peer))

    def find_unready_reason(self) -> str:
        """Returns why the balancer should not send requests to this process.

        Returns:
            The reason; empty if the process is ready.
        """
        if self._stopping:
            return "stopping"
        return self._replica.find_unready_reason()

    def start(self) -> None:
        """Starts all tasks and opens the sockets."""
        self._replica.subscribe_timers(self._timers)
        self._leases.subscribe_timers(self._timers)
        self._streams.subscribe_timers(self._timers)
        self._supervisor.start_task("timers", self._timers.run)
        self._supervisor.start_task("replica", self._replica.run)
        self._supervisor.start_task("log-syncs", self._replica.disk.run_syncs)
        self._supervisor.start_task("leases", self._leases.run)
        self._supervisor.start_task("allotments", self._allotments.run)
        self._supervisor.start_task("streams", self._streams.run)
        if self._planner is not None:
            self._planner.subscribe_timers(self._timers)
            self._supervisor.start_task("planner", self._planner.run)
        self._links.listen()
        for peer in self._links.get_dialled_peers():
            dial = functools.partial(self._links.dial_forever, peer)
            self._supervisor.start_task(f"dial-{peer}", dial)
        self._admin.start()
        self._api.start()
        logs.log_event("started", listen=self._settings.api_listen)

    def stop(self) -> None:
        """Stops the process's tasks and closes its sockets."""
        self._stopping = True
        logs.log_event("stopping")
        self._app.stop()
        self._api.stop(timeout=5)
        self._replica.hand_over()
        self._supervisor.stop()
        self._links.close()
        self._replica.disk.close()
        self._admin.stop(timeout=0)
        logs.log_event("stopped")
