"""One replica of a simulated cluster: a core with a store in memory."""

import struct

import xxhash

from bambookeel.consensus import core
from bambookeel.consensus import effects as core_effects
from bambookeel.consensus import events
from bambookeel.consensus import records
from bambookeel.consensus import replication
from bambookeel.core import ids
from bambookeel.core import messages
from bambookeel.storage import snapshot_format
from bambookeel.storage import store as replica_store
from features.fakes import memory_folder

_STATE = struct.Struct(">QQ")
_PART_BYTES = 64


class CoreNode:
    """A process with a disk, whose applied state is a hash of all commands."""

    def __init__(self, cluster, process, rate):
        self.cluster = cluster
        self.process = process
        self.rate = rate
        self.folder = memory_folder.MemoryFolder()
        self.is_up = False
        self.is_frozen = False
        self.inbox = []
        self.core = None
        self.store = None
        self.member = None
        self.generation = 0
        self.applied, self.digest, self.applied_term = 0, 0, 0
        self.is_syncing = False

    def read_clock(self):
        return int(self.cluster.now_ms * self.rate)

    def start(self, first_membership=None):
        if first_membership is not None:
            head = snapshot_format.SnapshotHead(0, 0, first_membership)
            snapshot = snapshot_format.Snapshot(head, _STATE.pack(0, 0))
            data = snapshot_format.encode_snapshot(snapshot)
            self.folder.replace("snapshot", data)
        opened = replica_store.open_store(self.folder, self.process)
        self.store, loaded = opened.unwrap()
        self.member = loaded.member
        seed = self.cluster.rng.getrandbits(60)
        self.core = core.start_core(
            self.cluster.settings,
            loaded.member,
            loaded.recovered,
            seed,
            self.read_clock(),
        )
        self.generation = 0
        self.applied, self.digest, self.applied_term = 0, 0, 0
        if loaded.snapshot is not None:
            self._load_state(loaded.snapshot)
        self.is_up = True
        self.is_frozen = False
        self.inbox = []
        self.is_syncing = False
        if self.cluster.observer is not None:
            self.cluster.observer.handle_start(self)

    def _load_state(self, snapshot):
        self.applied, self.digest = _STATE.unpack_from(snapshot.payload)
        self.applied_term = snapshot.head.last_term
        self.cluster.check_digest(self.applied, self.digest)

    def stop(self):
        self.is_up = False
        self.core = None
        self.folder.crash(self.cluster.rng)
        if self.cluster.observer is not None:
            self.cluster.observer.handle_stop(self)

    def wipe(self):
        self.folder = memory_folder.MemoryFolder()

    def holds_lease(self):
        if not self.is_up or self.core.role is not records.Role.LEADER:
            return False
        return self.read_clock() < replication.compute_lease_until(self.core)

    def leads(self):
        return self.is_up and self.core.role is records.Role.LEADER

    def run(self, event):
        """Runs one step of the core and carries out its effects."""
        self.cluster.steps += 1
        self.core, effects = core.step(self.core, event, self.read_clock())
        for effect in effects:
            self._carry_out(effect)
        if not self.is_up:
            return
        if (
            self.applied - self.core.snapshot_index
            >= self.cluster.snapshot_every
        ):
            self._make_snapshot()
        if self.core.synced_index < self.store.last_index:
            self._begin_sync()

    def _begin_sync(self):
        if self.is_syncing:
            return
        self.is_syncing = True
        synced = events.LogSynced(self.store.last_index, self.generation)
        self.cluster.schedule_sync(self, synced)

    def end_sync(self, synced):
        self.is_syncing = False
        self.store.sync_log()
        self.cluster.syncs += 1
        self.run(synced)
        if self.is_up and self.core.synced_index < self.store.last_index:
            self._begin_sync()

    def _carry_out(self, effect):
        match effect:
            case core_effects.PersistTerm(term, vote):
                self.store.persist_term(term, vote)
            case core_effects.AppendEntries(entries, generation):
                self.generation = generation
                self.store.append(entries)
            case core_effects.TruncateLog(from_index, generation):
                self.generation = generation
                self.store.truncate(from_index)
                self._begin_sync()
            case core_effects.DropPrefix(to_index, term):
                self.store.drop_prefix(to_index, term)
            case core_effects.ResetLog(index, term, generation):
                self.generation = generation
                self.store.reset_log(index, term)
            case core_effects.Send(to, message):
                self.cluster.send(self, to, message)
            case core_effects.Commit(entries):
                self._apply(entries)
            case core_effects.SendSnapshotPart():
                self._send_part(effect)
            case core_effects.SaveSnapshotPart(part):
                self._save_part(part)
            case core_effects.RoleChanged(term, True):
                self.cluster.check_leader(term, self.member)
            case core_effects.ReadConfirmed(read_id, index):
                self.cluster.check_read(read_id, index)

    def _apply(self, entries):
        for entry in entries:
            assert entry.index == self.applied + 1, "applied out of order"
            self.applied = entry.index
            self.applied_term = entry.term
            body = struct.pack(">QQ", self.digest, entry.term) + entry.payload
            self.digest = xxhash.xxh64_intdigest(body)
            self.cluster.check_commit(self, entry, self.digest)

    def _make_snapshot(self):
        head = snapshot_format.SnapshotHead(
            self.applied,
            self.applied_term,
            records.get_membership_at(self.core, self.applied),
        )
        payload = _STATE.pack(self.applied, self.digest) + bytes(300)
        snapshot = snapshot_format.Snapshot(head, payload)
        self.store.save_snapshot(snapshot_format.encode_snapshot(snapshot))
        self.run(events.SnapshotMade(self.applied))

    def _send_part(self, effect):
        data = self.store.read_snapshot_part(effect.offset, _PART_BYTES + 1)
        part = messages.SnapshotPart(
            effect.term,
            self.member,
            ids.LogIndex(self.core.snapshot_index),
            ids.Term(self.core.snapshot_term),
            effect.offset,
            data[:_PART_BYTES],
            len(data) <= _PART_BYTES,
            effect.round_number,
        )
        self.cluster.send(self, effect.to, part)

    def _save_part(self, part):
        self.store.save_received_part(part.offset, part.data)
        if not part.is_last:
            return
        taken = self.store.take_received()
        snapshot = taken.value_or(None)
        if snapshot is None:
            self.run(events.SnapshotRejected())
            return
        self.cluster.snapshots_installed += 1
        self._load_state(snapshot)
        head = snapshot.head
        self.run(
            events.SnapshotInstalled(
                head.last_index, head.last_term, head.members
            )
        )
