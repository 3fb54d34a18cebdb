"""Mutual authentication of peer links by TLS.

Every process of a deployment has a certificate of the deployment's authority
with its process id as a DNS name among the subject's alternative names. Both
ends demand one, and the id that a peer tells must be among its names. The files
are read again when they change, so that certificates and authorities can be
replaced without a restart; links in use stay as they are.
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
# What tells whether a file has changed: its time, size and number.
_FileMark = tuple[int, int, int]


def _read_mark(path: str) -> _FileMark:
    stat = os.stat(path)
    return stat.st_mtime_ns, stat.st_size, stat.st_ino


class PeerTls:
    """Turns sockets into authenticated ones."""

    def __init__(
        self, settings: core_settings.TlsSettings, handshake_timeout_ms: int
    ) -> None:
        self._settings = settings
        self._handshake_timeout_s = handshake_timeout_ms / 1000.0
        self._marks: tuple[_FileMark, ...] = ()
        self._client: typing.Any = None
        self._server: typing.Any = None

    @classmethod
    def from_config(
        cls,
        settings: core_settings.TlsSettings | None,
        handshake_timeout_ms: int,
    ) -> "PeerTls | None":
        """Builds the authentication that the settings ask for.

        Args:
            settings: The certificates; None for plain links.
            handshake_timeout_ms: Time in which a handshake must be done.

        Returns:
            The authentication, or None for plain links.

        Raises:
            OSError: If a file cannot be read or holds no certificate.
        """
        if settings is None:
            return None
        made = cls(settings, handshake_timeout_ms)
        made.load()
        return made

    def load(self) -> None:
        """Reads the files, and again whenever one has changed.

        Raises:
            OSError: If a file cannot be read or holds no certificate.
        """
        marks = tuple(
            _read_mark(path)
            for path in (
                self._settings.certificate_file,
                self._settings.key_file,
                self._settings.authority_file,
            )
        )
        if marks == self._marks:
            return
        client = self._build_context(gevent.ssl.PROTOCOL_TLS_CLIENT)
        server = self._build_context(gevent.ssl.PROTOCOL_TLS_SERVER)
        self._client, self._server = client, server
        self._marks = marks
        logs.log_event(
            "certificates_loaded", file=self._settings.certificate_file
        )

    def _build_context(self, protocol: typing.Any) -> typing.Any:
        context = gevent.ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        # Processes know each other by id, which `is_peer` checks.
        context.check_hostname = False
        context.verify_mode = ssl.CERT_REQUIRED
        context.load_cert_chain(
            self._settings.certificate_file, self._settings.key_file
        )
        context.load_verify_locations(self._settings.authority_file)
        return context

    def _reload(self) -> None:
        """Reads changed files; a bad set leaves the one in use."""
        try:
            self.load()
        except OSError as error:
            # The files may be half replaced; the next handshake reads again.
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
        return self._shake_hands(sock, self._client, False)

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
        return self._shake_hands(sock, self._server, True)

    def _shake_hands(
        self, sock: typing.Any, context: typing.Any, is_server: bool
    ) -> typing.Any:
        """Runs the handshake within its time.

        Args:
            sock: The plain socket.
            context: Certificates and authority.
            is_server: Whether the peer dialled.

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
            raise TimeoutError("the handshake took too long") from error
        except OSError as error:
            sock.close()
            logs.log_event("handshake_failed", error=str(error))
            raise

    def is_peer(self, sock: typing.Any, process_id: ids.ProcessId) -> bool:
        """Tells whether a peer's certificate is that of a process.

        Args:
            sock: An authenticated socket.
            process_id: The id that the peer told.

        Returns:
            Whether the id is among the certificate's names.
        """
        certificate = sock.getpeercert() or {}
        names = certificate.get("subjectAltName", ())
        return (_DNS, process_id) in names
