"""Mutual authentication of peer links by TLS.

Every process of a deployment has a certificate that is signed by the
deployment's certificate authority and has the process id as a DNS name among
its subject alternative names. Both ends require a certificate, and the process
id that a peer sends must be among the names in its certificate. The files are
read again when they have changed, so that certificates and authorities can be
replaced without a restart. Links in use are not affected.
"""

import os
import ssl
import typing

import gevent
import gevent.ssl

from bambookeel.core import ids
from bambookeel.core import settings as core_settings
from bambookeel.runtime import logs

_DNS = "DNS"
# Modification time, size and inode number of a file, by which a change of the
# file is detected.
_FileVersion = tuple[int, int, int]


def _read_file_version(path: str) -> _FileVersion:
    stat = os.stat(path)
    return stat.st_mtime_ns, stat.st_size, stat.st_ino


class PeerTls:
    """Authenticates the sockets of peer links."""

    def __init__(
        self, settings: core_settings.TlsSettings, handshake_timeout_ms: int
    ) -> None:
        self._settings = settings
        self._handshake_timeout_s = handshake_timeout_ms / 1000.0
        self._file_versions: tuple[_FileVersion, ...] = ()
        self._client_context: typing.Any = None
        self._server_context: typing.Any = None

    @classmethod
    def from_config(
        cls,
        settings: core_settings.TlsSettings | None,
        handshake_timeout_ms: int,
    ) -> "PeerTls | None":
        """Builds the authentication from the settings and loads the files.

        Args:
            settings: Paths of the files; None for links without TLS.
            handshake_timeout_ms: Time limit of a handshake.

        Returns:
            The authentication, or None for links without TLS.

        Raises:
            OSError: If a file cannot be read or its content is invalid.
        """
        if settings is None:
            return None
        peer_tls = cls(settings, handshake_timeout_ms)
        peer_tls.load()
        return peer_tls

    def load(self) -> None:
        """Reads the files unless they are unchanged since the last time.

        Raises:
            OSError: If a file cannot be read or its content is invalid.
        """
        file_versions = tuple(
            _read_file_version(path)
            for path in (
                self._settings.certificate_file,
                self._settings.key_file,
                self._settings.authority_file,
            )
        )
        if file_versions == self._file_versions:
            return
        client = self._build_context(gevent.ssl.PROTOCOL_TLS_CLIENT)
        server = self._build_context(gevent.ssl.PROTOCOL_TLS_SERVER)
        self._client_context, self._server_context = client, server
        self._file_versions = file_versions
        logs.log_event(
            "certificates_loaded", file=self._settings.certificate_file
        )

    def _build_context(self, protocol: typing.Any) -> typing.Any:
        context = gevent.ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        # Processes are identified by their ids, which `is_certified_for`
        # checks, and not by host names.
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_cert_chain(
            self._settings.certificate_file, self._settings.key_file
        )
        context.load_verify_locations(self._settings.authority_file)
        return context

    def _reload(self) -> None:
        """Reads changed files; invalid ones do not replace the loaded ones."""
        try:
            self.load()
        except OSError as error:
            # Possibly not all files have been replaced yet; the next handshake
            # reads them again.
            logs.log_event("certificates_not_loaded", error=str(error))

    def wrap_client(self, sock: typing.Any) -> typing.Any:
        """Authenticates a dialled connection.

        Args:
            sock: The connected socket.

        Returns:
            The authenticated socket.

        Raises:
            OSError: If the handshake fails or takes too long.
        """
        self._reload()
        return self._handshake(sock, self._client_context, False)

    def wrap_server(self, sock: typing.Any) -> typing.Any:
        """Authenticates an accepted connection.

        Args:
            sock: The accepted socket.

        Returns:
            The authenticated socket.

        Raises:
            OSError: If the handshake fails or takes too long.
        """
        self._reload()
        return self._handshake(sock, self._server_context, True)

    def _handshake(
        self, sock: typing.Any, context: typing.Any, is_server: bool
    ) -> typing.Any:
        """Runs the handshake within its time limit.

        Args:
            sock: The connected socket without TLS.
            context: TLS context with the certificates and the authority.
            is_server: Whether the socket was accepted, not dialled.

        Returns:
            The authenticated socket.

        Raises:
            OSError: If the handshake fails or takes too long.
        """
        try:
            with gevent.Timeout(self._handshake_timeout_s):
                return context.wrap_socket(sock, server_side=is_server)
        except gevent.Timeout as error:
            sock.close()
            raise TimeoutError("the TLS handshake timed out") from error
        except OSError as error:
            sock.close()
            logs.log_event("handshake_failed", error=str(error))
            raise

    def is_certified_for(
        self, sock: typing.Any, process_id: ids.ProcessId
    ) -> bool:
        """Checks whether the certificate of a peer is that of a process.

        Args:
            sock: An authenticated socket.
            process_id: The process id that the peer claims.

        Returns:
            Whether the process id is among the names in the certificate.
        """
        certificate = sock.getpeercert() or {}
        names = certificate.get("subjectAltName", ())
        return (_DNS, process_id) in names
