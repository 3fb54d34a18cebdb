"""Builds and runs a node: channels, gateway and, with a disk, a replica."""

import secrets

from returns import result

from bambookeel.control import events
from bambookeel.core import client_limits
from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.jobs import advice
from bambookeel.jobs import calls
from bambookeel.jobs import instances
from bambookeel.net import channels
from bambookeel.net import client_guard
from bambookeel.net import http_server
from bambookeel.net import links
from bambookeel.node import gateway
from bambookeel.node import leader_finder
from bambookeel.node import replica
from bambookeel.node import settings as node_settings
from bambookeel.runtime import client_metrics
from bambookeel.runtime import clock
from bambookeel.runtime import logs
from bambookeel.runtime import supervisor
from bambookeel.runtime import timers
from bambookeel.storage import folder
from bambookeel.storage import store as replica_store


class Node:
    """The parts of a node, whose tasks run under one supervisor."""

    def __init__(self, settings: node_settings.NodeSettings) -> None:
        self.settings = settings
        self._supervisor = supervisor.Supervisor("node")
        self._timers = timers.TimerService()
        self._is_stopping = False
        identity = messages.Hello(
            settings.address,
            messages.ProcessRole.CONTROL,
            settings.data_centre,
            ids.Incarnation(clock.read_wall_ms()),
            ids.LinkNumber(0),
        )
        link_settings = links.LinkSettings(
            settings.listen,
            {},
            settings.channel_heartbeat_ms,
            settings.channel_timeout_ms,
        )
        self.clients = client_guard.ClientGuard(
            settings.machine.memory_mb, settings.machine.max_fds
        )
        client_metrics.register_buffered_bytes(
            self.clients.count_buffered_bytes
        )
        self._channels = channels.Channels(
            link_settings, identity, self._deliver, self.clients.ports["peers"]
        )
        view = leader_finder.LeaderView(
            settings.address, settings.seeds, known_ms=clock.read_now_ms()
        )
        self.gateway = gateway.Gateway(
            view, self._channels, announces=bool(settings.data_folder)
        )
        self._replica: replica.Replica | None = None

    @classmethod
    def from_config(
        cls,
        settings: node_settings.NodeSettings,
        provider: instances.Provider | None = None,
        advisor: advice.Advisor | None = None,
    ) -> "Node":
        """Builds a node and opens its data folder, but no socket.

        Args:
            settings: Settings of the node.
            provider: Provider of instances; None if there is none.
            advisor: Advisor that approves workers; None if there is none.

        Returns:
            The node, not yet started.
        """
        node = cls(settings)
        if settings.data_folder:
            node.open_disk(provider, advisor)
        return node

    def open_disk(
        self,
        provider: instances.Provider | None,
        advisor: advice.Advisor | None,
    ) -> None:
        """Opens the data folder, and ends the process if that fails.

        Args:
            provider: Provider of instances; None if there is none.
            advisor: Advisor that approves workers; None if there is none.
        """
        opened = folder.open_folder(self.settings.data_folder).bind(
            lambda locked: replica_store.open_store(
                locked, self.settings.address
            )
        )
        match opened:
            case result.Failure(fault):
                supervisor.end_process(f"{fault.place}: {fault.message}")
        store, loaded = opened.unwrap()
        if loaded.torn_bytes:
            logs.log_event("torn_log_cut", cut_bytes=loaded.torn_bytes)
        self._replica = replica.Replica(
            self.settings,
            store,
            loaded,
            self._channels.send,
            secrets.randbits(62),
        )
        if provider is not None:
            self._replica.external_services.connect_provider(
                provider, self.settings.name
            )
        if advisor is not None:
            self._replica.external_services.connect_advisor(advisor)

    def _deliver(self, peer: ids.ProcessId, message: messages.Message) -> None:
        """Passes a message to the gateway or the replica, or answers it.

        A node without a replica refuses calls, naming the leader that it knows,
        and answers the question which process leads from its own view.

        Args:
            peer: Process that sent the message.
            message: Message from the channels.
        """
        match message:
            case messages.LeaderAnswer() | messages.LeaderKnown():
                self.gateway.handle_message(peer, message)
                if self._replica is not None:
                    view = self.gateway.leader_view
                    contacts = (view.leader,) if view.leader else ()
                    self._replica.set_contacts(contacts + view.voters)
            case _ if self._replica is not None:
                event = events.FromPeer(peer, message)
                if not self._replica.mailbox.put(event):
                    logs.log_event("mailbox_full", peer=peer)
            case messages.LeaderCall(number):
                leader = self.gateway.leader_view.leader
                payload = calls.encode_answer(calls.NotLeading(leader, False))
                self._channels.send(
                    peer, messages.LeaderAnswer(number, payload)
                )
            case messages.LeaderQuestion():
                self._channels.send(peer, self.gateway.describe_leader())

    def build_server(
        self, port: str, listen: str, app: http_server.WsgiApp
    ) -> http_server.Server:
        """Builds a server that bounds what its clients can use.

        Args:
            port: Name of the port in `client_guard`.
            listen: Address of the server, `ip:port`.
            app: Its application.

        Returns:
            The server, not yet started.
        """
        is_for_callers = port == "callers"
        return http_server.Server(
            listen,
            app,
            port=self.clients.ports[port],
            read_limits=self._read_limits if is_for_callers else None,
        )

    def _read_limits(self) -> client_limits.ClientLimits:
        return self.gateway.client_limits

    def change_seeds(self, seeds: tuple[ids.ProcessId, ...]) -> None:
        """Replaces the seeds with those of changed settings.

        Args:
            seeds: Addresses of other nodes; unchanged ones have no effect.
        """
        if seeds == self.gateway.leader_view.seeds:
            return
        self.gateway.leader_view.seeds = seeds
        logs.log_event("seeds_changed", seeds=",".join(seeds))

    def find_unready_reason(self) -> str:
        """Returns why the node should get no requests from callers.

        Returns:
            The reason; empty if the node is ready.
        """
        if self._is_stopping:
            return "stopping"
        if not self.gateway.leader_view.is_confirmed(clock.read_now_ms()):
            return "no leader is known"
        return ""

    def start(self) -> None:
        """Starts all tasks and opens the channels' socket."""
        self._supervisor.start_task("timers", self._timers.run)
        if self._replica is not None:
            self._replica.subscribe_timers(self._timers)
            self._replica.margin.register_metrics()
            self._supervisor.start_task("replica", self._replica.run)
            disk = self._replica.disk
            self._supervisor.start_task("log-syncs", disk.run_syncs)
        self._channels.listen()
        self._supervisor.start_task("gateway", self.gateway.run)
        logs.log_event("started", listen=self.settings.listen)

    def begin_stop(self) -> None:
        """Marks the node as not ready and hands over its leadership."""
        self._is_stopping = True
        logs.log_event("stopping")
        if self._replica is not None:
            self._replica.mailbox.put(events.StopReplica())

    def stop(self) -> None:
        """Stops the tasks and closes the sockets."""
        self._supervisor.stop()
        self._channels.close()
        if self._replica is not None:
            self._replica.disk.close()
        logs.log_event("stopped")
