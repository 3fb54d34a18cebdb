"""Replicas of several nodes in one process, connected by their mailboxes."""

import random

import gevent
import gevent.event

from bambookeel.configuration import document as configuration
from bambookeel.control import events
from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import settings as core_settings
from bambookeel.jobs import calls
from bambookeel.node import replica as node_replica
from bambookeel.node import settings as node_settings
from bambookeel.runtime import supervisor
from bambookeel.runtime import timers
from bambookeel.storage import store
from features.fakes import jobs_bounds
from features.fakes import memory_folder

_TIMEOUT_S = 30.0
_CALL_TIMEOUT_S = 1.0
_TIMINGS = core_settings.ConsensusTimings(
    heartbeat_ms=20,
    election_min_ms=200,
    election_max_ms=400,
    snapshot_every=30,
)
# Slower timings, as between separate machines; they tolerate pauses.
SLOW_TIMINGS = core_settings.ConsensusTimings(
    heartbeat_ms=150,
    election_min_ms=900,
    election_max_ms=1_500,
    snapshot_every=300,
)


class NoAnswerError(AssertionError):
    """No replica answered in time."""


class Member:
    """Replica of one node; its folder survives the replica's task."""

    def __init__(self, group, address):
        self.group = group
        self.address = address
        self.folder = memory_folder.MemoryFolder()
        self.replica = None
        self._supervisor = None
        self._waiting = {}
        self._starts = 0
        # Whether the last call to this replica got no answer.
        self.did_not_answer = False

    def start(self):
        """Starts the replica from its folder."""
        self._starts += 1
        settings = node_settings.NodeSettings(
            name=self.address,
            data_centre=ids.DataCentre("dc"),
            address=self.address,
            listen=self.address,
            seeds=tuple(self.group.members),
            is_first_start=self._starts == 1,
            data_folder="memory",
            consensus=self.group.timings,
            scheduling=jobs_bounds.SETTINGS,
            channel_heartbeat_ms=100,
            channel_timeout_ms=500,
        )
        opened = store.open_store(self.folder, self.address).unwrap()
        self.replica = node_replica.Replica(
            settings, *opened, self._send, self.group.rng.getrandbits(62)
        )
        if self.group.provider is not None:
            self.replica.external_services.connect_provider(
                self.group.provider, self.address
            )
        service = timers.TimerService()
        self.replica.subscribe_timers(service)
        self._supervisor = supervisor.Supervisor("member")
        self._supervisor.start_task("timers", service.run)
        self._supervisor.start_task("replica", self.replica.run)
        self._supervisor.start_task("syncs", self.replica.disk.run_syncs)

    def _send(self, peer, message):
        if isinstance(message, messages.LeaderAnswer):
            reply = self._waiting.pop(message.number, None)
            if reply is not None:
                reply.set(calls.decode_answer(message.payload).unwrap())
            return True
        if isinstance(message, messages.LeaderKnown):
            return True
        other = self.group.members[peer]
        is_isolated = self.group.isolated in (self.address, peer)
        if other.replica is None or (is_isolated and peer != self.address):
            return False
        event = events.FromPeer(self.address, message)
        return other.replica.mailbox.put(event)

    def call(self, call):
        """Makes one call to this replica; returns None without an answer."""
        number = self.group.rng.getrandbits(60)
        reply = gevent.event.AsyncResult()
        self._waiting[number] = reply
        payload = calls.encode_call(call)
        message = messages.LeaderCall(number, payload)
        self.replica.mailbox.put(events.FromPeer(self.address, message))
        try:
            return reply.get(timeout=_CALL_TIMEOUT_S)
        except gevent.Timeout:
            return None

    def send_malformed_call(self):
        """Sends the replica a call that cannot be decoded."""
        message = messages.LeaderCall(1, b"\0garbage")
        self.replica.mailbox.put(events.FromPeer(self.address, message))

    def fail_next_decision(self):
        """Makes the next turn that decides something raise an error."""
        services = self.replica.external_services
        send_requests = services.send_requests

        def fail(scheduler, term, now):
            if not scheduler.term.batch:
                return send_requests(scheduler, term, now)
            services.send_requests = send_requests
            raise ValueError("a turn that fails")

        services.send_requests = fail

    def kill(self):
        """Stops the replica as a loss of power does."""
        self._supervisor.stop()
        self.replica = None
        self.folder.crash(random.Random(1))

    def lose_disk(self):
        """Replaces the disk with an empty one; the replica must be stopped."""
        self.folder = memory_folder.MemoryFolder()


class Group:
    """All replicas of a test."""

    def __init__(self, size=3, timings=_TIMINGS, provider=None):
        self.rng = random.Random(5)
        self.provider = provider
        self.timings = timings
        # Address of the member that cannot reach the others; None for none.
        self.isolated = None
        self.members = {}
        for i in range(size):
            address = ids.ProcessId(f"10.0.0.{i + 1}:7000")
            self.members[address] = Member(self, address)
        for member in self.members.values():
            member.start()

    def call(self, call, timeout_s=_TIMEOUT_S):
        """Calls the replicas in turn until the leader answers."""
        with gevent.Timeout(
            timeout_s, NoAnswerError("no replica answered the call")
        ):
            while True:
                # Replicas that did not answer the last call come last.
                for member in sorted(
                    self.members.values(), key=lambda each: each.did_not_answer
                ):
                    if (
                        member.replica is None
                        or member.address == self.isolated
                    ):
                        continue
                    answer = member.call(call)
                    member.did_not_answer = answer is None
                    if answer is None or isinstance(answer, calls.NotLeading):
                        continue
                    return answer, member
                gevent.sleep(0.02)

    def build_document(self, version):
        """Builds a configuration with one queue."""
        queue = configuration.Queue("orders", "h", "/o/", "pack", 3_000)
        return configuration.Document(
            version,
            (queue,),
            (configuration.Service("pack"),),
            (configuration.Team("coach", ("key",)),),
            f'{{"version":{version}}}'.encode(),
        )

    def put_document(self, version, timeout_s=_TIMEOUT_S):
        """Puts a configuration into force."""
        document = self.build_document(version)
        return self.call(calls.PutDocument(document), timeout_s)

    def wait_for(self, condition):
        """Waits until a condition holds."""
        with gevent.Timeout(
            _TIMEOUT_S, NoAnswerError("the condition did not become true")
        ):
            while not condition():
                gevent.sleep(0.01)

    def read_configuration(self):
        """Reads the configuration in force."""
        answer, _ = self.call(calls.GetDocument())
        return answer.original

    def stop(self):
        """Ends stalls of the disks and stops all replicas."""
        for member in self.members.values():
            member.folder.end_stall()
            if member.replica is not None:
                member.kill()
