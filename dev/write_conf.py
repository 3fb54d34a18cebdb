"""Writes the example settings of both deployments to `conf/`.

Each deployment has three control and eleven entry processes in three data
centres, and one file of resources: services with their pools and instances, and
client accounts as teams. Run `python -m dev.write_conf` after changing this
module.
"""

import dataclasses
import hashlib
import json
import pathlib
import typing

_FOLDER = pathlib.Path(__file__).parent.parent / "conf"
_CONTROLS = 3
_ENTRIES = 11
_WORKERS = 6
_WORKERS_PER_RACK = 4
_EXAMPLE_KEY = "bootstrap.replace-this-key"


@dataclasses.dataclass(frozen=True)
class Deployment:
    """An example deployment of one user.

    Attributes:
        name: Name of the folder for its files.
        title: The user's name, for comments in the files.
        network: First two parts of its IPv4 addresses.
        data_centres: Names of its data centres.
        delay: One-way delay between data centres, for comments in the files.
        services: Names of its services; the pool of the first one lends its
            spare instances.
        teams: Share weight and upper limit of each client account.
        weights: Weights of the planner's decisions, by configuration key.
    """

    name: str
    title: str
    network: str
    data_centres: tuple[str, ...]
    delay: str
    services: tuple[str, ...]
    teams: dict[str, tuple[float, int]]
    weights: dict[str, str]


_HOLLYBROOK = Deployment(
    "hollybrook",
    "Hollybrook Lunchbox Scheduler",
    "10.20",
    ("tamworth", "hinckley", "lichfield"),
    "0.5 ms",
    ("invoicing", "orders", "packing-runs", "allergy-labels", "van-booking"),
    {
        "coach-parties": (4.0, 96),
        "school-trips": (4.0, 96),
        "rambling-clubs": (1.0, 32),
        "packing-lines": (2.0, 64),
        "label-printers": (1.0, 32),
        "van-desk": (1.0, 32),
    },
    {
        "weight_buffer_cost": "2",
        "weight_roll_out": "2",
        "weight_share": "1",
        "weight_moves": "1",
    },
)
_CADWYN = Deployment(
    "cadwyn",
    "Cadwyn Engineer Dispatch Scheduling Cluster",
    "10.40",
    ("cardiff", "wrexham", "bangor"),
    "1 ms",
    ("invoicing", "panel-faults", "engineer-booking", "rosters", "keyholders"),
    {
        "cadwyn-desk": (3.0, 96),
        "tanat-desk": (2.0, 64),
        "gwent-fire-watch": (2.0, 64),
        "seiont-alarms": (2.0, 64),
        "care-homes": (1.0, 32),
        "factories": (1.0, 32),
    },
    {
        "weight_buffer_cost": "1",
        "weight_roll_out": "1",
        "weight_share": "2",
        "weight_moves": "2",
    },
)


def _get_address(
    deployment: Deployment, first_host: int, i: int, port: int
) -> str:
    data_centre_number = i % len(deployment.data_centres) + 1
    return f"{deployment.network}.{data_centre_number}.{first_host + i}:{port}"


def _list_peers(
    deployment: Deployment, role: str, first_host: int, count: int
) -> list[dict[str, str]]:
    return [
        {
            "process_id": f"{role}-{i}",
            "address": _get_address(deployment, first_host, i, 7000),
            "data_centre": deployment.data_centres[
                i % len(deployment.data_centres)
            ],
        }
        for i in range(count)
    ]


def _write(
    root: pathlib.Path,
    deployment: Deployment,
    name: str,
    comment: str,
    document: dict[str, typing.Any],
) -> None:
    folder = root / deployment.name
    folder.mkdir(parents=True, exist_ok=True)
    text = json.dumps(document, indent=2)
    path = folder / f"{name}.json"
    path.write_text(f"// {comment}\n{text}\n", encoding="utf-8")


def _write_processes(root: pathlib.Path, deployment: Deployment) -> None:
    """Writes the settings of all processes of a deployment."""
    control = _list_peers(deployment, "control", 10, _CONTROLS)
    entries = _list_peers(deployment, "entry", 20, _ENTRIES)
    digest = hashlib.sha256(_EXAMPLE_KEY.encode()).hexdigest()
    for first_host, role, peers in (
        (10, "control", control),
        (20, "entry", entries),
    ):
        for i, peer in enumerate(peers):
            own: dict[str, typing.Any] = {
                "process_id": peer["process_id"],
                "data_centre": peer["data_centre"],
                "admin_listen": _get_address(deployment, first_host, i, 7001),
                "peer_listen": peer["address"],
                "data_folder": "/var/lib/bambookeel",
            }
            listen = _get_address(deployment, first_host, i, 8000)
            if role == "control":
                own["api_listen"] = listen
                own["bootstrap_key_sha256"] = digest
            else:
                own["callers_listen"] = listen
            own["tls"] = {
                "certificate_file": "/etc/bambookeel/certificate.pem",
                "key_file": "/etc/bambookeel/key.pem",
                "authority_file": "/etc/bambookeel/authority.pem",
            }
            comment = (
                f"{deployment.title}: {peer['process_id']} in"
                f" {peer['data_centre']}; {deployment.delay} one way between"
                " data centres."
            )
            document = {**own, "control": control, "entries": entries}
            _write(root, deployment, peer["process_id"], comment, document)


def _write_resources(root: pathlib.Path, deployment: Deployment) -> None:
    """Writes all resources of a deployment to one file."""
    items = []
    for name, (share_weight, upper_limit) in deployment.teams.items():
        spec = {"share_weight": share_weight, "upper_limit": upper_limit}
        items.append({"kind": "team", "name": name, "spec": spec})
    for service_number, service in enumerate(deployment.services):
        pool = {
            "wanted_size": _WORKERS,
            "max_unavailable": 1,
            "survive_racks": 1,
            "lends_spare": service_number == 0,
        }
        items.append({"kind": "pool", "name": service, "spec": pool})
        spec = {"pool": service}
        items.append({"kind": "service", "name": service, "spec": spec})
        for i in range(_WORKERS):
            data_centre = deployment.data_centres[
                i % len(deployment.data_centres)
            ]
            rack = (service_number * _WORKERS + i) // _WORKERS_PER_RACK
            worker = {
                "pool": service,
                "data_centre": data_centre,
                "rack": f"{data_centre}-rack-{rack}",
                "cores": 64,
                "memory_mb": 262_144,
            }
            items.append(
                {
                    "kind": "instance",
                    "name": f"{service}-{i}",
                    "spec": worker,
                }
            )
    tuning = {"values": deployment.weights}
    items.append({"kind": "configuration", "name": "fleet", "spec": tuning})
    comment = f"{deployment.title}: apply with `bambookeel apply FILE`."
    _write(root, deployment, "resources", comment, {"resources": items})


def write_all(root: pathlib.Path) -> None:
    """Writes the files of both deployments.

    Args:
        root: Folder in which each deployment gets a folder.
    """
    for deployment in (_HOLLYBROOK, _CADWYN):
        _write_processes(root, deployment)
        _write_resources(root, deployment)


if __name__ == "__main__":
    write_all(_FOLDER)
