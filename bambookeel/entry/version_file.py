"""Stores the highest state version that an entry has applied in a file.

An entry that restarts must not serve an older configuration than before. It
therefore stores a version before it uses it: it writes a new file, syncs it and
renames it over the old one.
"""

import os
import pathlib

import msgspec

from bambookeel.core import ids

_FILE_NAME = "applied-version.json"


class VersionFileError(Exception):
    """The version file exists but does not contain a version."""


class VersionFile:
    """The version file of one entry; without a folder nothing is stored."""

    def __init__(self, data_folder: str) -> None:
        self._path: pathlib.Path | None = None
        if data_folder:
            self._path = pathlib.Path(data_folder) / _FILE_NAME

    def load(self) -> ids.StateVersion:
        """Reads the stored version.

        Returns:
            The version; 0 if none has been stored.

        Raises:
            VersionFileError: If the file does not contain a version.
        """
        if self._path is None or not self._path.exists():
            return ids.StateVersion(0)
        try:
            record = msgspec.json.decode(
                self._path.read_bytes(), type=dict[str, int]
            )
            return ids.StateVersion(record["version"])
        except (msgspec.DecodeError, KeyError) as error:
            raise VersionFileError(f"{self._path}: {error}") from error

    def store(self, version: ids.StateVersion) -> None:
        """Replaces the stored version; it is durable once this returns.

        Args:
            version: The version that is about to be used.
        """
        if self._path is None:
            return
        folder = self._path.parent
        folder.mkdir(parents=True, exist_ok=True)
        written = self._path.with_suffix(".new")
        with written.open("wb") as file:
            file.write(msgspec.json.encode({"version": version}) + b"\n")
            file.flush()
            os.fsync(file.fileno())
        os.replace(written, self._path)
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
