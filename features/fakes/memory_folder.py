"""A data folder in memory, with injected disk faults.

Syncs can fail, the disk can be full or stall, and a crash can leave a torn
write.
"""

import errno
import threading
import time

from bambookeel.storage import log_format

# Longer than the disk stalls in any test.
_LONGEST_STALL_S = 60


class MemoryFile:
    """A file that records how many of its bytes are synced."""

    def __init__(self, folder, name):
        self._folder = folder
        self.data = bytearray(folder.files.get(name, b""))
        self.synced = len(self.data)
        folder.open_files[name] = self

    @property
    def size(self):
        return len(self.data)

    def append(self, data):
        self._folder.wait_for_disk()
        self._folder.reserve_space(len(data))
        self.data += data

    def truncate(self, size):
        del self.data[size:]
        self.data += bytes(size - len(self.data))
        self.synced = min(self.synced, size)

    def sync(self):
        self._folder.check_sync()
        self.synced = len(self.data)

    def close(self):
        pass


class MemoryFolder:
    """Replaces `folder.Folder` in tests."""

    def __init__(self):
        self.files = {}
        self.open_files = {}
        self.fail_syncs = False
        self.sync_errno = errno.EIO
        self.space = None
        self.syncs = 0
        # Duration of each sync.
        self.sync_ms = 0
        # Writes and syncs on the main thread during a stall, which would have
        # blocked the whole process.
        self.waits_on_main_thread = 0
        self._answers = threading.Event()
        self._answers.set()

    def stall(self):
        """Blocks writes and syncs from now on."""
        self._answers.clear()

    def end_stall(self):
        """Ends a stall."""
        self._answers.set()

    def wait_for_disk(self):
        """Waits while the disk stalls; the main thread only counts the call."""
        if self._answers.is_set():
            return
        if threading.current_thread() is threading.main_thread():
            self.waits_on_main_thread += 1
            return
        self._answers.wait(_LONGEST_STALL_S)

    def reserve_space(self, size):
        if self.space is None:
            return
        if size > self.space:
            raise OSError(errno.ENOSPC, "no space left")
        self.space -= size

    def check_sync(self):
        self.syncs += 1
        self.wait_for_disk()
        if self.sync_ms:
            time.sleep(self.sync_ms / 1000.0)
        if self.fail_syncs:
            raise OSError(self.sync_errno, "sync failed")

    def read(self, name):
        if name in self.open_files:
            return bytes(self.open_files[name].data)
        return self.files.get(name)

    def read_part(self, name, offset, size):
        return self.read(name)[offset : offset + size]

    def replace(self, name, data):
        self.reserve_space(len(data))
        self.check_sync()
        self.open_files.pop(name, None)
        self.files[name] = bytes(data)

    def open_append(self, name):
        return MemoryFile(self, name)

    def close(self):
        pass

    def crash(self, rng):
        """Keeps a random number of the bytes that were not synced."""
        for name, file in self.open_files.items():
            kept = rng.randint(file.synced, len(file.data))
            self.files[name] = bytes(file.data[:kept])
        self.open_files = {}

    def damage_record(self, number):
        """Flips a bit in the body of the log record with index `number`."""
        data = bytearray(self.read("log"))
        scanned = log_format.scan_log(bytes(data)).unwrap()
        data[scanned.offsets[number] + 13] ^= 1
        self.open_files.pop("log", None)
        self.files["log"] = bytes(data)
