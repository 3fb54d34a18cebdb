"""The few file operations that storage needs, on one locked folder.

This is the only module that touches the disk, so that a fake in its place can
fail a sync, fill the disk or tear the end of a file.
"""

import fcntl
import os
import pathlib

from returns import result

from bambookeel.core import faults

_LOCK_NAME = "lock"


class AppendFile:
    """A file that grows at its end."""

    def __init__(self, path: pathlib.Path) -> None:
        self._descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        self.size = os.lseek(self._descriptor, 0, os.SEEK_END)

    def append(self, data: bytes) -> None:
        """Writes at the end, wholly or not at all; it is not yet synced.

        Args:
            data: The bytes.

        Raises:
            OSError: If there is no room; the file is then as it was.
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
        """Cuts the file.

        Args:
            size: Its new length.
        """
        os.ftruncate(self._descriptor, size)
        self.size = size

    def sync(self) -> None:
        """Makes what was written last.

        Raises:
            OSError: If the sync failed; what is on disk is then unknown.
        """
        os.fdatasync(self._descriptor)

    def close(self) -> None:
        """Closes the file."""
        os.close(self._descriptor)


class Folder:
    """A data folder that one process holds locked."""

    def __init__(self, path: pathlib.Path, lock_descriptor: int) -> None:
        self._path = path
        self._lock_descriptor = lock_descriptor

    def read(self, name: str) -> bytes | None:
        """Reads a whole file.

        Args:
            name: The file.

        Returns:
            Its bytes, or None when it does not exist.
        """
        try:
            return (self._path / name).read_bytes()
        except FileNotFoundError:
            return None

    def read_part(self, name: str, offset: int, size: int) -> bytes:
        """Reads a part of a file.

        Args:
            name: The file.
            offset: Where the part begins.
            size: Its greatest length.

        Returns:
            The bytes; fewer at the file's end.
        """
        with (self._path / name).open("rb") as file:
            file.seek(offset)
            return file.read(size)

    def replace(self, name: str, data: bytes) -> None:
        """Replaces a file as a whole; old or new content survives a crash.

        Args:
            name: The file.
            data: Its new content.

        Raises:
            OSError: If there is no room, or a sync failed.
        """
        scratch = self._path / f"{name}.new"
        scratch.write_bytes(b"")
        file = AppendFile(scratch)
        try:
            file.append(data)
            file.sync()
        finally:
            file.close()
        os.replace(scratch, self._path / name)
        self.sync_folder()

    def sync_folder(self) -> None:
        """Makes new and replaced names last."""
        descriptor = os.open(self._path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def open_append(self, name: str) -> AppendFile:
        """Opens a file to append to.

        Args:
            name: The file; made when it does not exist.

        Returns:
            The open file.
        """
        return AppendFile(self._path / name)

    def close(self) -> None:
        """Gives the lock up."""
        os.close(self._lock_descriptor)


def open_folder(path: str) -> result.Result[Folder, faults.Fault]:
    """Makes a data folder if needed and locks it.

    Args:
        path: The folder.

    Returns:
        The folder, or the fault when another process holds it.
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
