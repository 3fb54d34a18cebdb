"""A disk that loses power, as a replacement for the module `os`.

Each write since the last sync of its file is present, missing or torn after a
loss of power, each independently of the others. A renamed or created name may
be lost until its folder is synced; a new file persists with its own sync.
"""

import errno
import os
import pathlib


class PowerLossError(Exception):
    """The machine has lost power; nothing later is carried out."""


class _Inode:

    def __init__(self):
        self.data = bytearray()
        self.synced = b""
        # Writes and truncations since the last sync: offset and bytes, or size.
        self.pending = []

    def apply(self, data, change):
        if isinstance(change, int):
            del data[change:]
            data += bytes(change - len(data))
            return
        offset, written = change
        data += bytes(max(0, offset - len(data)))
        data[offset : offset + len(written)] = written

    def change(self, change):
        self.apply(self.data, change)
        self.pending.append(change)

    def sync(self):
        self.synced = bytes(self.data)
        self.pending = []


class DiskModel:
    """The calls of `os` that a data folder needs, and its files."""

    O_RDWR, O_CREAT, O_RDONLY, O_DIRECTORY, O_TRUNC = (
        os.O_RDWR,
        os.O_CREAT,
        os.O_RDONLY,
        os.O_DIRECTORY,
        os.O_TRUNC,
    )
    SEEK_END = os.SEEK_END

    def __init__(self, calls_until_loss=None, skips_sync=(), choose=None):
        """Starts with an empty folder.

        Args:
            calls_until_loss: Number of changes and syncs that are carried out
                before the power is lost; None for no loss.
            skips_sync: Planted faults: "file" and "folder" syncs do nothing.
            choose: Function that chooses one of several values.
        """
        self.calls_until_loss = calls_until_loss
        self._skips_sync = skips_sync
        self._choose = choose
        self._names = {}
        self._synced_names = {}
        # Changes of names since the folder's last sync.
        self._pending_names = []
        self._descriptors = {}
        self._next_descriptor = 100
        self.has_lost_power = False

    # --- Calls of `os` ---

    def _count(self, torn=None):
        if self.has_lost_power:
            raise PowerLossError
        if self.calls_until_loss is None:
            return
        self.calls_until_loss -= 1
        if self.calls_until_loss < 0:
            if torn is not None:
                torn()
            self.has_lost_power = True
            raise PowerLossError

    def open(self, path, flags, _mode=0):
        name = pathlib.Path(path).name
        if flags & os.O_DIRECTORY:
            return self._add_descriptor("folder")
        inode = self._names.get(name)
        if inode is None:
            if not flags & os.O_CREAT:
                raise FileNotFoundError(errno.ENOENT, name)
            self._count()
            inode = _Inode()
            self._names[name] = inode
            self._pending_names.append((name, inode, None))
        if flags & os.O_TRUNC and inode.data:
            self._count()
            inode.change(0)
        return self._add_descriptor(inode)

    def _add_descriptor(self, target):
        self._next_descriptor += 1
        self._descriptors[self._next_descriptor] = target
        return self._next_descriptor

    def lseek(self, descriptor, _offset, _whence):
        return len(self._descriptors[descriptor].data)

    def pwrite(self, descriptor, data, offset):
        inode = self._descriptors[descriptor]
        change = (offset, bytes(data))
        self._count(lambda: inode.change(change))
        inode.change(change)
        return len(data)

    def ftruncate(self, descriptor, size):
        self._count()
        self._descriptors[descriptor].change(size)

    def fdatasync(self, descriptor):
        self._count()
        if "file" in self._skips_sync:
            return
        inode = self._descriptors[descriptor]
        inode.sync()
        # A new file persists with its own sync.
        kept = []
        for name, target, removed in self._pending_names:
            if target is inode and removed is None:
                self._synced_names[name] = inode
                continue
            kept.append((name, target, removed))
        self._pending_names = kept

    def fsync(self, _descriptor):
        self._count()
        if "folder" in self._skips_sync:
            return
        self._synced_names = dict(self._names)
        self._pending_names = []

    def replace(self, source, target):
        self._count()
        old, new = pathlib.Path(source).name, pathlib.Path(target).name
        inode = self._names.pop(old)
        self._names[new] = inode
        self._pending_names.append((new, inode, old))

    def close(self, descriptor):
        self._descriptors.pop(descriptor, None)

    def pread(self, descriptor, size, offset):
        return bytes(self._descriptors[descriptor].data[offset : offset + size])

    # --- Loss of power ---

    def _choose_data(self, inode):
        data = bytearray(inode.synced)
        keeps_none = self._choose([False, True])
        for change in inode.pending:
            fate = self._choose(["present", "missing", "torn"])
            if keeps_none or fate == "missing":
                continue
            if fate == "torn" and not isinstance(change, int):
                offset, written = change
                cut = self._choose(range(len(written) + 1))
                change = (offset, written[:cut])
            inode.apply(data, change)
        return data

    def restart(self):
        """Returns the disk as it is found after the loss of power."""
        names = dict(self._synced_names)
        for name, inode, old in self._pending_names:
            if not self._choose([True, False]):
                continue
            names[name] = inode
            if old is not None:
                names.pop(old, None)
        after = DiskModel(choose=self._choose)
        contents = {}
        for name, inode in names.items():
            if id(inode) not in contents:
                contents[id(inode)] = self._choose_data(inode)
            found = _Inode()
            found.data = bytearray(contents[id(inode)])
            found.sync()
            after.add_synced(name, found)
        return after

    def add_synced(self, name, inode):
        """Adds a file that survives any loss of power."""
        self._names[name] = inode
        self._synced_names[name] = inode
