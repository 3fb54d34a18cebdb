"""Builds the settings of peer links from the settings of a process."""

import sys

from bambookeel.core import ids
from bambookeel.core import settings as core_settings
from bambookeel.net import links
from bambookeel.net import tls
from bambookeel.runtime import settings_file


def build_link_settings(
    settings: core_settings.EntrySettings | core_settings.ControlSettings,
) -> links.LinkSettings:
    """Builds the settings of a process's links and loads its certificates.

    If the certificates cannot be read, it ends the process with the exit status
    for invalid settings.

    Args:
        settings: Settings of the process, of either role.

    Returns:
        The settings of the links, without TLS if the settings have no `tls`.
    """
    peers = settings.control + settings.entries
    try:
        peer_tls = tls.PeerTls.from_config(
            settings.tls, settings.links.timeout_ms
        )
    except OSError as error:
        print(f"tls: {error}", file=sys.stderr)
        sys.exit(settings_file.EXIT_BAD_SETTINGS)
    return links.LinkSettings(
        settings.peer_listen,
        {ids.ProcessId(p.process_id): p.address for p in peers},
        settings.links.heartbeat_ms,
        settings.links.timeout_ms,
        wrap_client=peer_tls.wrap_client if peer_tls else None,
        wrap_server=peer_tls.wrap_server if peer_tls else None,
        is_certified_for=peer_tls.is_certified_for if peer_tls else None,
    )
