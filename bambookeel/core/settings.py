"""Settings of the daemons, as frozen data classes with bounds and units.

These settings are the only source of a process's addresses and data centre.
`runtime.settings_file` reads them from JSON with comments and checks them
against these classes before any socket is opened.
"""

import dataclasses
from typing import Annotated

import msgspec

from bambookeel.core import resources

_OCTET = "(25[0-5]|2[0-4][0-9]|1?[0-9]{1,2})"
_PORT = (
    "([0-9]{1,4}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]"
    "|6553[0-5])"
)
Address = Annotated[
    str,
    msgspec.Meta(
        pattern=rf"^({_OCTET}(\.{_OCTET}){{3}}|\[[0-9a-f:]+\]):{_PORT}$"
    ),
]
HeartbeatMs = Annotated[int, msgspec.Meta(ge=20, le=10_000)]
LeaseMs = Annotated[int, msgspec.Meta(ge=200, le=60_000)]
Sha256Hex = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
# Fraction of the time within which a new replica must get its vote. A voter
# that is silent for longer than this part may lose its vote. The rest is for
# the new replica's start, for catching up and for two committed membership
# changes.
_LOST_VOTER_FRACTION = 0.4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerSpec:
    """Another process of the deployment.

    Attributes:
        process_id: Id of the process, unique in the deployment.
        address: Address at which it listens for peer links.
        data_centre: Data centre in which it runs.
    """

    process_id: resources.Name
    address: Address
    data_centre: resources.Name


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TlsSettings:
    """Certificates of peer links.

    Attributes:
        certificate_file: File of this process's certificate (PEM).
        key_file: File of this process's private key (PEM).
        authority_file: File of the certificate of the deployment's certificate
            authority (PEM).
    """

    certificate_file: str
    key_file: str
    authority_file: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LinkTimings:
    """Timings of peer links.

    Attributes:
        heartbeat_ms: Time between two heartbeats.
        timeout_ms: Time without a received message after which a link is
            replaced.
    """

    heartbeat_ms: HeartbeatMs = 250
    timeout_ms: LeaseMs = 1_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseTimings:
    """Leases between control and entries; must be equal in all processes.

    Attributes:
        report_ms: Time between two heartbeats of an entry to control.
        dispatch_ms: Duration of a dispatch lease.
        freshness_ms: How long an entry trusts its key table without contact to
            control.
        allotment_ms: Duration of the lease of a team's allotment.
    """

    report_ms: HeartbeatMs = 250
    dispatch_ms: LeaseMs = 1_200
    freshness_ms: LeaseMs = 2_400
    allotment_ms: LeaseMs = 1_500


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConsensusTimings:
    """Timings of the replicated log.

    Attributes:
        heartbeat_ms: Time between two heartbeats of the leader.
        election_min_ms: Shortest election timeout.
        election_max_ms: Longest election timeout.
        snapshot_every: Number of log entries between two snapshots.
        max_voters: Largest number of voters; 0 if all replicas vote.
        lost_voter_ms: Time without contact after which a voter's vote may go to
            another replica; used if the number of voters is limited.
    """

    heartbeat_ms: HeartbeatMs = 100
    election_min_ms: LeaseMs = 500
    election_max_ms: LeaseMs = 900
    snapshot_every: resources.PositiveInt = 1_000
    max_voters: int = 0
    lost_voter_ms: resources.PositiveInt = 8_000


def compute_lost_voter_ms(catch_up_ms: int, election_max_ms: int) -> int:
    """Computes the silence after which a voter's vote may be reassigned.

    Args:
        catch_up_ms: Time from a new replica's start until it must have a vote.
        election_max_ms: Longest election timeout; a shorter silence does not
            show that a voter is lost.

    Returns:
        Time in ms; leaves the rest of `catch_up_ms` for catching up.
    """
    return max(election_max_ms, int(catch_up_ms * _LOST_VOTER_FRACTION))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntryLimits:
    """Limits that protect an entry from overload.

    Attributes:
        max_connections: Largest number of simultaneous caller connections.
        max_header_bytes: Largest size of a request head.
        head_timeout_ms: Time within which a caller must send the whole head.
        body_timeout_ms: Time within which a caller must send the whole body.
        max_answer_bytes: Largest answer that is forwarded to a caller.
        max_kept_answer_bytes: Memory for the answers that are kept for repeated
            requests with an Idempotency-Key.
        probe_connections: Connections of each backend server reserved for
            probes.
    """

    max_connections: resources.PositiveInt = 4_000
    max_header_bytes: resources.PositiveInt = 16_384
    head_timeout_ms: resources.PositiveInt = 5_000
    body_timeout_ms: resources.PositiveInt = 30_000
    max_answer_bytes: resources.PositiveInt = 64 * 1024 * 1024
    max_kept_answer_bytes: resources.PositiveInt = 32 * 1024 * 1024
    probe_connections: resources.NonNegativeInt = 4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopTimings:
    """Timings of an entry's planned stop.

    Attributes:
        unready_ms: Time for which /readyz reports unready before the entry
            stops listening; the load balancer must notice within this time.
        hand_over_ms: Longest wait for other processes to take over the leases.
        finish_ms: Longest wait for requests in flight to end.
    """

    unready_ms: resources.NonNegativeInt = 1_500
    hand_over_ms: resources.NonNegativeInt = 3_000
    finish_ms: resources.NonNegativeInt = 60_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings:
    """Settings of an entry process.

    Attributes:
        process_id: This process's id, unique in the deployment.
        data_centre: Data centre in which this process runs.
        callers_listen: Address for callers and backend servers (HTTP).
        admin_listen: Address for health and metrics (HTTP).
        peer_listen: Address for peer links.
        control: All control processes.
        entries: All entry processes, including this one.
        announce_token: Shared secret of backend servers; empty for none.
        data_folder: Folder in which the highest applied state version is
            stored; empty to store none.
        tls: Certificates of peer links; None for links without TLS.
        links: Timings of peer links.
        leases: Timings of leases.
        limits: Limits that protect the entry.
        stop: Timings of a planned stop.
    """

    process_id: resources.Name
    data_centre: resources.Name
    callers_listen: Address
    admin_listen: Address
    peer_listen: Address
    control: tuple[PeerSpec, ...]
    entries: tuple[PeerSpec, ...]
    announce_token: str = ""
    data_folder: str = ""
    tls: TlsSettings | None = None
    links: LinkTimings = LinkTimings()
    leases: LeaseTimings = LeaseTimings()
    limits: EntryLimits = EntryLimits()
    stop: StopTimings = StopTimings()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ControlSettings:
    """Settings of a control process.

    Attributes:
        process_id: This process's id, unique in the deployment.
        data_centre: Data centre in which this process runs.
        api_listen: Address of the operators' API (HTTP).
        admin_listen: Address for health and metrics (HTTP).
        peer_listen: Address for peer links.
        data_folder: Folder of the log and the snapshots.
        control: All control processes, including this one.
        entries: All entry processes.
        platform_address: Address of the platform's HTTP interface; empty if
            the fleet is not managed.
        bootstrap_key_sha256: SHA-256 of the first operator's key, which is
            accepted as an admin's key until an operator resource exists.
        tls: Certificates of peer links; None for links without TLS.
        links: Timings of peer links.
        leases: Timings of leases.
        consensus: Timings of the replicated log.
    """

    process_id: resources.Name
    data_centre: resources.Name
    api_listen: Address
    admin_listen: Address
    peer_listen: Address
    data_folder: str
    control: tuple[PeerSpec, ...]
    entries: tuple[PeerSpec, ...]
    platform_address: str = ""
    bootstrap_key_sha256: Sha256Hex
    tls: TlsSettings | None = None
    links: LinkTimings = LinkTimings()
    leases: LeaseTimings = LeaseTimings()
    consensus: ConsensusTimings = ConsensusTimings()
