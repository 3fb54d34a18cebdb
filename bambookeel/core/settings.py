"""Settings of the daemons, as frozen data classes with bounds and units.

A process learns its addresses and its data centre only from here. The loader
in `runtime.settings_file` reads JSON with comments and checks it against these
classes before any socket opens.
"""

import dataclasses
from typing import Annotated

import msgspec

from bambookeel.core import resources

Address = Annotated[
    str,
    msgspec.Meta(pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$"),
]
HeartbeatMs = Annotated[int, msgspec.Meta(ge=20, le=10_000)]
LeaseMs = Annotated[int, msgspec.Meta(ge=200, le=60_000)]
Sha256Hex = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
# Part of the time in which a new replica must get its vote; the rest is left
# for its start, for catching up and for two committed changes of membership.
_SILENCE_SHARE = 0.4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerSpec:
    """Another process of the deployment.

    Attributes:
        process_id: Its id.
        address: Where it listens for peer links.
        data_centre: Where it stands.
    """

    process_id: resources.Name
    address: Address
    data_centre: resources.Name


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TlsSettings:
    """Certificates of peer links.

    Attributes:
        certificate_file: Own certificate, PEM.
        key_file: Own key, PEM.
        authority_file: Certificate of the deployment's authority, PEM.
    """

    certificate_file: str
    key_file: str
    authority_file: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LinkTimings:
    """Timings of peer links.

    Attributes:
        heartbeat_ms: Time between heartbeats.
        timeout_ms: Silence after which a link is replaced.
    """

    heartbeat_ms: HeartbeatMs = 250
    timeout_ms: LeaseMs = 1_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseTimings:
    """Leases between control and entries; all processes must agree on them.

    Attributes:
        report_ms: Time between an entry's heartbeats to control.
        dispatch_ms: Lease of a dispatcher.
        freshness_ms: How long an entry trusts its key table without control.
        allotment_ms: Lease of a team's allotment.
    """

    report_ms: HeartbeatMs = 250
    dispatch_ms: LeaseMs = 1_200
    freshness_ms: LeaseMs = 2_400
    allotment_ms: LeaseMs = 1_500


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConsensusTimings:
    """Timings of the replicated log.

    Attributes:
        heartbeat_ms: Time between a leader's heartbeats.
        election_min_ms: Shortest silence before an election.
        election_max_ms: Longest silence before an election.
        snapshot_every: Log entries between two snapshots.
        max_voters: Most replicas with a vote; 0 for all.
        lost_voter_ms: Silence after which another replica may get a voter's
            vote, where their number is bounded.
    """

    heartbeat_ms: HeartbeatMs = 100
    election_min_ms: LeaseMs = 500
    election_max_ms: LeaseMs = 900
    snapshot_every: resources.PositiveInt = 1_000
    max_voters: int = 0
    lost_voter_ms: resources.PositiveInt = 8_000


def compute_lost_voter_ms(catch_up_ms: int, election_max_ms: int) -> int:
    """Derives the silence after which a voter's vote may move on.

    Args:
        catch_up_ms: Time from a new replica's start until it must have its
            vote.
        election_max_ms: Longest silence before an election; a shorter silence
            says nothing.

    Returns:
        Milliseconds, which leave the rest of the time for catching up.
    """
    return max(election_max_ms, int(catch_up_ms * _SILENCE_SHARE))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntryLimits:
    """Bounds that protect an entry.

    Attributes:
        max_connections: Callers' connections at once.
        max_header_bytes: Largest request head.
        head_timeout_ms: Time for a caller to send the whole head.
        body_timeout_ms: Time for a caller to send the whole body.
        max_answer_bytes: Largest answer that is passed on.
        max_kept_answer_bytes: Memory for answers to idempotent repeats.
        probe_connections: Connections to each backend server kept free.
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
        unready_ms: Time from an unready /readyz to the end of listening; the
            balancer must see it within that time.
        hand_over_ms: Longest wait until other processes hold the leases.
        finish_ms: Longest wait for requests in flight.
    """

    unready_ms: resources.NonNegativeInt = 1_500
    hand_over_ms: resources.NonNegativeInt = 3_000
    finish_ms: resources.NonNegativeInt = 60_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings:
    """Settings of an entry process.

    Attributes:
        process_id: Own id, unique in the deployment.
        data_centre: Where the process runs.
        callers_listen: Address for callers and backend servers (HTTP).
        admin_listen: Address for health and metrics (HTTP).
        peer_listen: Address for peer links.
        control: The control processes.
        entries: All entry processes, this one included.
        announce_token: Shared secret of backend servers; empty for none.
        data_folder: Where the highest applied version is kept; empty for none.
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
        process_id: Own id, unique in the deployment.
        data_centre: Where the process runs.
        api_listen: Address of the operators' API (HTTP).
        admin_listen: Address for health and metrics (HTTP).
        peer_listen: Address for peer links.
        data_folder: Folder of the log and snapshots.
        control: All control processes, this one included.
        entries: All entry processes.
        platform_address: Address of the platform's HTTP interface; empty
            where the fleet is not managed.
        bootstrap_key_sha256: SHA-256 of the first operator's key; it works as
            an admin's until an operator resource exists.
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
