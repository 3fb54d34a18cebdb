"""Processes, links and backend servers in simulated time, for randomised runs.

The code under test is real: `DispatcherTask`, the lease keeper and the
allotments. The simulated network delays, cuts and drops messages; simulated
processes freeze, die and restart. The backend servers count what really runs,
independently of the dispatchers.
"""

import collections
import heapq
import itertools
import random
import zlib

from bambookeel.core import messages

LINK_TIMEOUT_MS = 1_000


class Clock:
    """Simulated time and the events scheduled in it."""

    def __init__(self, seed):
        self.now_ms = 1_000_000
        self.random = random.Random(seed)
        self._events = []
        self._numbers = itertools.count()

    def after(self, delay_ms, action):
        due = self.now_ms + delay_ms
        heapq.heappush(self._events, (due, next(self._numbers), action))

    def run_until(self, end_ms):
        while self._events and self._events[0][0] <= end_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        self.now_ms = end_ms


class Network:
    """Links between processes, which deliver in order and can be cut."""

    def __init__(self, clock):
        self._clock = clock
        self._nodes = {}
        self._up = {}
        self._cut = set()
        self._last_due_ms = {}
        self._held_back = collections.defaultdict(list)
        self._generation = collections.Counter()
        self.sent = collections.Counter()

    def add(self, node):
        self._nodes[node.name] = node
        for other in list(self._nodes):
            if other != node.name:
                self.connect(node.name, other)

    def connect(self, a, b):
        pair = frozenset((a, b))
        if pair in self._cut or self._up.get(pair):
            return
        if not (self._nodes[a].is_running() and self._nodes[b].is_running()):
            return
        self._up[pair] = True
        self._generation[pair] += 1
        self._nodes[a].post(("up", b))
        self._nodes[b].post(("up", a))

    def disconnect(self, a, b):
        pair = frozenset((a, b))
        if not self._up.get(pair):
            return
        self._up[pair] = False
        self._generation[pair] += 1
        self._held_back.pop((a, b), None)
        self._held_back.pop((b, a), None)
        self._nodes[a].post(("down", b))
        self._nodes[b].post(("down", a))

    def cut(self, a, b):
        pair = frozenset((a, b))
        self._cut.add(pair)
        generation = self._generation[pair]

        def time_out():
            if pair in self._cut and self._generation[pair] == generation:
                self.disconnect(a, b)

        self._clock.after(LINK_TIMEOUT_MS, time_out)

    def heal(self, a, b):
        self._cut.discard(frozenset((a, b)))
        for direction in ((a, b), (b, a)):
            for message in self._held_back.pop(direction, []):
                self._schedule(direction, message)
        self.connect(a, b)

    def is_open(self, pair):
        return bool(self._up.get(pair)) and pair not in self._cut

    def drop_all(self, name):
        for other in self._nodes:
            if other != name:
                self.disconnect(name, other)

    def connect_all(self, name):
        for other in self._nodes:
            if other != name:
                self.connect(name, other)

    def send(self, sender, to, message):
        if to == sender:
            self._nodes[to].post(("message", sender, message))
            return True
        if not self._up.get(frozenset((sender, to))):
            return False
        self.sent[sender] += 1
        self._schedule((sender, to), message)
        return True

    def _schedule(self, direction, message):
        pair = frozenset(direction)
        delay = self._clock.random.choice((0, 1, 1, 2, 5, 20))
        due = max(
            self._clock.now_ms + delay, self._last_due_ms.get(direction, 0)
        )
        self._last_due_ms[direction] = due
        generation = self._generation[pair]

        def deliver():
            if self._generation[pair] != generation:
                return
            if pair in self._cut:
                self._held_back[direction].append(message)
                return
            self._nodes[direction[1]].post(("message", direction[0], message))

        self._clock.after(due - self._clock.now_ms, deliver)


class Backend:
    """A backend server, which knows what really runs."""

    def __init__(self, clock, simulation, service, name, slots):
        self._clock = clock
        self._simulation = simulation
        self.service = service
        self.name = name
        self.slots = slots
        self.incarnation = 1
        self.running = {}
        self._sequence = 0
        self.leaving = False

    def announce(self):
        self._clock.after(500, self.announce)
        self._sequence += 1
        entry = self._simulation.pick_entry()
        if entry is None:
            return
        state = messages.BackendState.SERVING
        if self.leaving:
            state = messages.BackendState.LEAVING
        announcement = messages.BackendAnnouncement(
            self.service,
            self.name,
            f"127.0.0.1:{9_000 + zlib.crc32(self.name.encode()) % 5_000}",
            self.incarnation,
            self._sequence,
            state,
            self.slots,
            64,
            2_000,
            0,
            len(self.running),
        )
        entry.post(("message", entry.name, announcement))

    def restart(self):
        self.incarnation += 1
        self._sequence = 0
        for request in list(self.running.values()):
            self._simulation.record_end(self, request)
        self.running.clear()

    def run(self, request, incarnation, remaining_ms, reply):
        if incarnation != self.incarnation or remaining_ms <= 0:
            return
        self.running[request.request_id] = request
        self._simulation.record_start(self, request)
        incarnation = self.incarnation
        duration = min(request.work_ms, remaining_ms)

        def finish():
            if self.incarnation != incarnation:
                return
            del self.running[request.request_id]
            self._simulation.record_end(self, request)
            if request.work_ms <= remaining_ms:
                self._clock.after(1, lambda: reply(request))

        self._clock.after(duration, finish)
