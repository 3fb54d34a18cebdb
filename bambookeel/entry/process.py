"""Builds and runs an entry process from its settings."""

import functools

from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import settings as core_settings
from bambookeel.entry import announcements
from bambookeel.entry import dispatcher_task
from bambookeel.entry import events
from bambookeel.entry import follower_task
from bambookeel.entry import planned_stop
from bambookeel.entry import request_path
from bambookeel.entry import router
from bambookeel.net import admin_app
from bambookeel.net import http_server
from bambookeel.net import link_config
from bambookeel.net import links
from bambookeel.runtime import clock
from bambookeel.runtime import logs
from bambookeel.runtime import supervisor
from bambookeel.runtime import timers


class EntryProcess:
    """The tasks and servers of an entry process, run by one supervisor."""

    def __init__(
        self,
        settings: core_settings.EntrySettings,
        peer_links: links.PeerLinks,
        follower: follower_task.FollowerTask,
        dispatcher: dispatcher_task.DispatcherTask,
        path: request_path.RequestPath,
    ) -> None:
        self._settings = settings
        self._links = peer_links
        self._follower = follower
        self._dispatcher = dispatcher
        self._path = path
        self._callers = path.callers
        self._admin = http_server.Server(
            settings.admin_listen, admin_app.AdminApp(self.find_unready_reason)
        )
        self._supervisor = supervisor.Supervisor("entry")
        self._timers = timers.TimerService()
        self._stopping = False

    @classmethod
    def from_config(
        cls, settings: core_settings.EntrySettings
    ) -> "EntryProcess":
        """Builds the process without opening a socket.

        Args:
            settings: Validated settings.

        Returns:
            The process, not started yet.
        """
        process_id = ids.ProcessId(settings.process_id)
        incarnation = ids.Incarnation(clock.read_wall_ms())
        dispatcher = dispatcher_task.DispatcherTask.from_config(settings)
        entry_router = router.Router(process_id, dispatcher)
        dispatcher.connect(entry_router.send)
        control = tuple(ids.ProcessId(p.process_id) for p in settings.control)
        follower = follower_task.FollowerTask(
            process_id,
            control,
            settings.leases,
            entry_router.send,
            dispatcher.mailbox,
            settings.data_folder,
        )
        dispatcher.connect_follower(follower.mailbox)
        link_settings = link_config.build_link_settings(settings)
        identity = messages.Hello(
            process_id,
            messages.ProcessRole.ENTRY,
            ids.DataCentre(settings.data_centre),
            incarnation,
            ids.LinkNumber(0),
        )
        peer_links = links.PeerLinks(
            link_settings, identity, entry_router.deliver
        )
        receiver = announcements.AnnouncementReceiver(
            process_id, dispatcher.mailbox
        )
        path = request_path.build_request_path(
            settings, incarnation, follower, entry_router, receiver
        )
        entry_router.connect(follower, peer_links, path.message_parts)
        return cls(settings, peer_links, follower, dispatcher, path)

    def find_unready_reason(self) -> str:
        """Returns why the balancer should send no requests to this entry.

        Returns:
            The reason, or empty if the entry is ready.
        """
        if self._stopping:
            return "stopping"
        if not self._follower.is_fresh():
            return "the key table is not fresh"
        return ""

    def start(self) -> None:
        """Starts all tasks and servers."""
        self._follower.subscribe_timers(self._timers)
        self._dispatcher.subscribe_timers(self._timers)
        self._supervisor.start_task("timers", self._timers.run)
        self._supervisor.start_task("dispatcher", self._dispatcher.run)
        self._supervisor.start_task("follower", self._follower.run)
        self._supervisor.start_task(
            "holders", self._path.message_parts.holder_watch.run
        )
        self._supervisor.start_task("callers", self._path.caller_watch.run)
        self._links.listen()
        for peer in self._links.get_dialled_peers():
            dial = functools.partial(self._links.dial_forever, peer)
            self._supervisor.start_task(f"dial-{peer}", dial)
        self._admin.start()
        self._callers.start()
        logs.log_event("started", listen=self._settings.callers_listen)

    def stop(self) -> None:
        """Stops the process without interrupting requests.

        It becomes unready, accepts no new requests, hands its leases over and
        completes its requests before its tasks and links are stopped.
        """
        self._stopping = True
        planned_stop.finish_work(
            self._settings, self._path, self._follower, self._hand_over
        )
        self._supervisor.stop()
        self._links.close()
        self._admin.stop(timeout=0)
        logs.log_event("stopped")

    def _hand_over(self) -> None:
        # The dispatcher stops granting first; the follower then tells control.
        self._dispatcher.mailbox.put(events.StopDispatching())
