"""A group of replica tasks in one process, connected by their mailboxes."""

import random

import gevent
import gevent.event

from bambookeel.control import events
from bambookeel.control import replica_task
from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.core import resources
from bambookeel.core import settings
from bambookeel.runtime import mailbox
from bambookeel.runtime import timers
from bambookeel.state import commands
from bambookeel.storage import store
from features.fakes import memory_folder

_TIMEOUT_S = 30.0


class Replica:
    """One replica, whose simulated data folder survives a kill of its task."""

    def __init__(self, group, process):
        self.group = group
        self.process = process
        self.folder = memory_folder.MemoryFolder()
        self.task = None
        self.greenlets = []
        self.listener = None
        self.sent_read_numbers = []

    def start(self):
        opened = store.open_store(self.folder, self.process).unwrap()
        self.task = replica_task.ReplicaTask(
            tuple(self.group.names),
            self.group.timings,
            *opened,
            self.group.rng.getrandbits(62),
        )
        self.listener = mailbox.Mailbox("listener")
        self.task.connect(self._send, [self.listener])
        service = timers.TimerService()
        self.task.subscribe_timers(service)
        loops = (service.run, self.task.run, self.task.disk.run_syncs)
        self.greenlets = [gevent.spawn(run) for run in loops]

    def _send(self, peer, message):
        if isinstance(message, messages.ReadIndexRequest):
            self.sent_read_numbers.append(message.nonce)
        other = self.group.replicas[peer]
        if other.task is None:
            return False
        return other.task.mailbox.put(events.FromPeer(self.process, message))

    def kill(self):
        gevent.killall(self.greenlets)
        self.task = None
        self.folder.crash(random.Random(1))
        for other in self.group.list_running():
            other.task.mailbox.put(events.PeerDown(self.process))

    def put_team(self, name, command_id):
        change = commands.PutSpec(
            resources.Kind.TEAM, name, commands.ANY_VERSION, {"upper_limit": 1}
        )
        command = commands.Command(
            ids.CommandId(command_id), "test", (commands.wrap_change(change),)
        )
        reply = gevent.event.AsyncResult()
        self.task.mailbox.put(events.LocalCommand(command, reply))
        return reply.get(timeout=_TIMEOUT_S)

    def put_team_until_committed(self, name, command_id):
        with gevent.Timeout(_TIMEOUT_S):
            while True:
                answer = self.put_team(name, command_id)
                if not isinstance(answer, events.NotCommitted):
                    return answer

    def read_teams(self):
        reply = gevent.event.AsyncResult()
        self.task.mailbox.put(events.LocalRead(reply))
        state = reply.get(timeout=_TIMEOUT_S)
        return {name for _, name in state.by_key}


class Group:
    """The replicas of a test, all started."""

    def __init__(self, size, snapshot_every=1_000):
        self.rng = random.Random(7)
        self.names = [ids.ProcessId(f"r{i}") for i in range(size)]
        self.timings = settings.ConsensusTimings(
            heartbeat_ms=20,
            election_min_ms=200,
            election_max_ms=400,
            snapshot_every=snapshot_every,
        )
        self.replicas = {name: Replica(self, name) for name in self.names}
        for replica in self.replicas.values():
            replica.start()
        self.wait_for(lambda: self.find_leader() is not None)

    def list_running(self):
        return [r for r in self.replicas.values() if r.task is not None]

    def find_leader(self):
        for replica in self.list_running():
            if replica.task.view.is_leader:
                return replica
        return None

    def find_follower(self):
        leader = self.find_leader()
        return [r for r in self.list_running() if r is not leader][0]

    def wait_for(self, condition):
        with gevent.Timeout(
            _TIMEOUT_S, AssertionError("the condition did not hold within 30 s")
        ):
            while not condition():
                gevent.sleep(0.01)

    def stop(self):
        for replica in self.list_running():
            gevent.killall(replica.greenlets)
