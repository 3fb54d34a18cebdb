"""File operations on one locked data folder.

Only this module accesses the disk, so that tests can replace it by a fake that
fails a sync, fills the disk or leaves a torn write at the end of a file.
"""

import errno
import fcntl
import os
import pathlib

from returns import result

from bambookeel.core import faults

_LOCK_NAME = "lock"


class AppendFile:
    """An append-only file that can be truncated."""

    def __init__(self, path: pathlib.Path, is_new: bool = False) -> None:
        """Opens a file, and creates it if it does not exist.

        Args:
            path: Path of the file.
            is_new: Whether to discard what an existing file contains.
        """
        flags = os.O_RDWR | os.O_CREAT | (os.O_TRUNC if is_new else 0)
        self._descriptor = os.open(path, flags, 0o600)
        self.size = os.lseek(self._descriptor, 0, os.SEEK_END)

    def append(self, data: bytes) -> None:
        """Appends all of the data or none of it, without a sync.

        Args:
            data: Bytes to append.

        Raises:
            OSError: If the write failed, such as on a full disk; the file is
                then unchanged.
        """
        written = 0
        try:
            while written < len(data):
                written += os.pwrite(
                    self._descriptor, data[written:], self.size + written
                )
        except OSError:
            os.ftruncate(self._descriptor, self.size)
            raise
        self.size += len(data)

    def truncate(self, size: int) -> None:
        """Truncates the file, without a sync.

        Args:
            size: New length in bytes.
        """
        os.ftruncate(self._descriptor, size)
        self.size = size

    def sync(self) -> None:
        """Syncs the written data to disk.

        Raises:
            OSError: If the sync failed; the content on disk is then unknown.
        """
        os.fdatasync(self._descriptor)

    def close(self) -> None:
        """Closes the file."""
        os.close(self._descriptor)


def _read_exactly(descriptor: int, offset: int, size: int) -> bytes:
    """Reads from an open file.

    Args:
        descriptor: Descriptor of the file.
        offset: Byte offset of the first byte.
        size: Maximum length in bytes.

    Returns:
        The bytes; fewer than `size` at the file's end.
    """
    parts = []
    while size > 0:
        part = os.pread(descriptor, size, offset)
        if not part:
            break
        parts.append(part)
        offset += len(part)
        size -= len(part)
    return b"".join(parts)


class Folder:
    """A data folder that this process has locked."""

    def __init__(self, path: pathlib.Path, lock_descriptor: int) -> None:
        self._path = path
        self._lock_descriptor = lock_descriptor

    def read(self, name: str) -> bytes | None:
        """Reads a whole file.

        Args:
            name: File name within the folder.

        Returns:
            Content of the file; None if it does not exist.
        """
        try:
            descriptor = os.open(self._path / name, os.O_RDONLY)
        except FileNotFoundError:
            return None
        try:
            size = os.lseek(descriptor, 0, os.SEEK_END)
            return _read_exactly(descriptor, 0, size)
        finally:
            os.close(descriptor)

    def read_part(self, name: str, offset: int, size: int) -> bytes:
        """Reads a part of a file.

        Args:
            name: File name within the folder.
            offset: Byte offset of the part.
            size: Maximum length in bytes.

        Returns:
            The bytes; fewer than `size` at the file's end.
        """
        descriptor = os.open(self._path / name, os.O_RDONLY)
        try:
            return _read_exactly(descriptor, offset, size)
        finally:
            os.close(descriptor)

    def replace(self, name: str, data: bytes) -> None:
        """Replaces a file atomically and syncs it.

        After a crash the file has either its old or its new content.

        Args:
            name: File name within the folder.
            data: New content.

        Raises:
            OSError: If the disk is full; the old content then stays. With EIO,
                which content a crash leaves is unknown.
        """
        temporary = self._path / f"{name}.new"
        file = AppendFile(temporary, is_new=True)
        try:
            file.append(data)
            file.sync()
        finally:
            file.close()
        os.replace(temporary, self._path / name)
        try:
            self.sync_folder()
        except OSError as error:
            # The name already stands for the new content, so that callers must
            # not go on as after a write that a full disk refuses.
            raise OSError(
                errno.EIO, f"the folder was not synced: {error}"
            ) from error

    def sync_folder(self) -> None:
        """Syncs the folder, so that new and replaced files survive a crash."""
        descriptor = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def open_append(self, name: str) -> AppendFile:
        """Opens a file to append to.

        Args:
            name: File name within the folder; created if it does not exist.

        Returns:
            The open file.
        """
        return AppendFile(self._path / name)

    def close(self) -> None:
        """Releases the lock."""
        os.close(self._lock_descriptor)


def open_folder(path: str) -> result.Result[Folder, faults.Fault]:
    """Creates a data folder if needed and locks it.

    Args:
        path: Path of the folder.

    Returns:
        The locked folder, or a fault if it cannot be created or another process
        has locked it.
    """
    folder = pathlib.Path(path)
    try:
        folder.mkdir(parents=True, exist_ok=True)
        flags = os.O_RDWR | os.O_CREAT
        descriptor = os.open(folder / _LOCK_NAME, flags, 0o600)
    except OSError as error:
        return result.Failure(faults.Fault(path, str(error)))
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(descriptor)
        message = "another process uses this data folder"
        return result.Failure(faults.Fault(path, message))
    return result.Success(Folder(folder, descriptor))
