"""`make node-soak`: injects random faults into nodes of the users' platform.

Nodes are separate processes behind relays. Faults are drawn from a seed, one
after another, and may overlap. Once all have healed, the promises are checked
from what callers, workers and the operator saw. Several seeds run in sequence;
the folder of a seed with a breach, a broken promise, is kept with its logs.
"""

import gevent.monkey

gevent.monkey.patch_all()

# pylint: disable=wrong-import-position
from collections.abc import Callable  # noqa: E402
import os  # noqa: E402
import pathlib  # noqa: E402
import random  # noqa: E402
import shutil  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

from absl import app  # noqa: E402
from absl import flags  # noqa: E402
import gevent  # noqa: E402

from dev import node_soak_evacuations  # noqa: E402
from dev import node_soak_load  # noqa: E402
from dev import node_soak_site  # noqa: E402
from dev import node_soak_worker  # noqa: E402
from dev import relay  # noqa: E402

_SEED = flags.DEFINE_integer("seed", 1, "First seed of faults and load.")
_RUNS = flags.DEFINE_integer("runs", 1, "Number of seeds to run.")
_SECONDS = flags.DEFINE_float("seconds", 20.0, "Time for faults per seed.")
_BASE_PORT = flags.DEFINE_integer("base_port", 27_000, "First port.")
_NODES = flags.DEFINE_integer("nodes", 5, "Nodes, of which three have a disk.")
_WORKERS = flags.DEFINE_integer("workers", 5, "Workers.")
_FORMER_ANSWERS = flags.DEFINE_bool(
    "former_answers",
    True,
    "Whether workers obey answers that were meant for their former life.",
)
_LATE_REPORTS = flags.DEFINE_enum(
    "late_reports",
    "seeded",
    ("seeded", "always", "never"),
    "Whether reports of a worker that is cut off arrive when the cut heals.",
)
_EVACUATIONS = flags.DEFINE_bool(
    "evacuations", True, "Whether data centres are evacuated."
)
_FOLDER = flags.DEFINE_string("folder", "run-output", "Settings and logs.")

# Time after the last fault within which all accepted jobs must end.
_SETTLE_S = 60.0
# Time between two disk wipes, so that the first node can vote again before the
# second one.
_WIPE_EVERY_S = 8.0

_Node = node_soak_site.SoakNode
_Fault = Callable[[_Node, random.Random], None]


def _kill(node: _Node, generator: random.Random) -> None:
    node.kill()
    gevent.sleep(generator.uniform(0.1, 2.5))
    node.start()


def _stop(node: _Node, generator: random.Random) -> None:
    node.signal(signal.SIGTERM)
    node.process.wait()
    gevent.sleep(generator.uniform(0.0, 1.0))
    node.start()


def _freeze(node: _Node, generator: random.Random) -> None:
    node.signal(signal.SIGSTOP)
    gevent.sleep(generator.uniform(0.2, 4.0))
    node.signal(signal.SIGCONT)


def _exchange_seeds(node: _Node, generator: random.Random) -> None:
    node.first_seed_node = generator.randrange(_NODES.value)
    node.write_settings()
    if generator.random() < 0.7:
        node.signal(signal.SIGHUP)


def _cut(node: _Node, generator: random.Random) -> None:
    directions = generator.choice(
        (
            tuple(relay.Direction),
            (relay.Direction.TO_TARGET,),
            (relay.Direction.FROM_TARGET,),
        )
    )
    for node_relay in node.relays.values():
        node_relay.cut(directions)
    gevent.sleep(generator.uniform(0.3, 4.0))
    node.heal()


def _delay(node: _Node, generator: random.Random) -> None:
    for node_relay in node.relays.values():
        node_relay.set_delay(generator.uniform(5, 250))
    gevent.sleep(generator.uniform(0.5, 4.0))
    node.heal()


def _reset(node: _Node, generator: random.Random) -> None:
    generator.choice(list(node.relays.values())).reset_existing()


def _silence(node: _Node, generator: random.Random) -> None:
    generator.choice(list(node.relays.values())).silence_existing()


def _step_clock(node: _Node, generator: random.Random) -> None:
    node.set_clock_offset(generator.choice((-6_000, -2_000, 2_000, 6_000)))
    gevent.sleep(generator.uniform(0.5, 4.0))
    node.set_clock_offset(0)


def _fill_disk(node: _Node, generator: random.Random) -> None:
    if not node.has_disk:
        return
    node.fill_disk()
    gevent.sleep(generator.uniform(0.5, 3.0))
    node.free_disk()


_FAULTS: tuple[tuple[str, _Fault], ...] = (
    ("kill", _kill),
    ("stop", _stop),
    ("freeze", _freeze),
    ("exchange seeds", _exchange_seeds),
    ("cut", _cut),
    ("delay", _delay),
    ("reset", _reset),
    ("silence", _silence),
    ("step clock", _step_clock),
    ("fill disk", _fill_disk),
)


def _draw_crash(generator: random.Random) -> node_soak_worker.Crash:
    down_s = generator.uniform(0.05, 0.8)
    return node_soak_worker.Crash(
        wait_s=generator.uniform(0.2, 1.5),
        down_s=down_s,
        answer_s=generator.uniform(down_s, node_soak_worker.ANSWER_TIMEOUT_S),
        cut_after_s=generator.uniform(0.02, 1.5),
        cut_s=generator.uniform(1.5, 6.0),
    )


class Soak:
    """The run of one seed."""

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        self._seed = seed
        self._generator = random.Random(seed)
        folder.mkdir(parents=True)
        # Concurrent soaks use different loopback networks.
        network = os.getpid() % 250 + 1
        self._site = node_soak_site.SoakSite(
            folder, _BASE_PORT.value, network, _NODES.value, _WORKERS.value
        )
        self._load = node_soak_load.SoakLoad(self._site, seed)
        self._evacuations = node_soak_evacuations.SoakEvacuations(
            self._site, seed
        )
        self._current_faults: dict[int, str] = {}
        self._last_wipe_s = time.monotonic()
        self._crash_generator = random.Random(seed + 2)
        delivers_late = self._crash_generator.random() < 0.5
        if _LATE_REPORTS.value != "seeded":
            delivers_late = _LATE_REPORTS.value == "always"
        for worker in self._site.workers:
            worker.delivers_late = delivers_late
            worker.takes_former_answers = _FORMER_ANSWERS.value

    def run(self) -> list[str]:
        """Runs the nodes under load and faults, and checks the promises.

        Returns:
            Descriptions of the breaches found.
        """
        site = self._site
        try:
            site.start()
            self._wait_until(site.are_ready, 30)
            self._load.start()
            if _EVACUATIONS.value:
                self._evacuations.start()
            self._inject_faults()
            self._load.stop_requests()
            if _EVACUATIONS.value:
                self._evacuations.stop(_SETTLE_S)
            self._wait_until(self._load.are_jobs_done, _SETTLE_S)
            breaches = self._load.find_breaches()
            breaches += self._evacuations.find_breaches()
            self._load.count_worker_faults()
            self._load.counts["evacuations"] = self._evacuations.count()
            for node in site.nodes:
                if node.has_ended():
                    breaches.append(f"node {node.number} has ended by itself")
            return breaches
        finally:
            self._load.kill_tasks()
            self._evacuations.kill()
            site.end()

    def describe(self) -> str:
        """Returns the counts of the load as key=value pairs on one line."""
        counts = sorted(self._load.counts.items())
        return " ".join(f"{name.replace(' ', '-')}={n}" for name, n in counts)

    def _wait_until(
        self, is_done: Callable[[], bool], timeout_s: float
    ) -> None:
        ends_s = time.monotonic() + timeout_s
        while time.monotonic() < ends_s and not is_done():
            gevent.sleep(0.1)

    def _inject_faults(self) -> None:
        started_s = time.monotonic()
        tasks = []
        generator = self._crash_generator
        half = (len(self._site.workers) + 1) // 2
        for worker in generator.sample(self._site.workers, half):
            worker_generator = random.Random(generator.random())
            tasks.append(
                gevent.spawn(
                    self._crash_in_series, worker, worker_generator, started_s
                )
            )
        while time.monotonic() - started_s < _SECONDS.value:
            at_s = time.monotonic() - started_s
            tasks.append(gevent.spawn(self._draw_fault(at_s)))
            gevent.sleep(self._generator.uniform(0.1, 2.0))
        gevent.joinall(tasks)

    def _crash_in_series(
        self,
        worker: node_soak_worker.SoakWorker,
        generator: random.Random,
        started_s: float,
    ) -> None:
        """Crashes a worker and cuts it off, again and again.

        Args:
            worker: The worker.
            generator: Draws the times.
            started_s: When faults began, in seconds of the monotonic clock.
        """
        while True:
            gevent.sleep(generator.uniform(0.2, 3.0))
            at_s = time.monotonic() - started_s
            if at_s >= _SECONDS.value:
                return
            _print_fault(at_s, "worker crashes and is cut off", worker.name)
            worker.run_crash(_draw_crash(generator))

    def _draw_fault(self, at_s: float) -> Callable[[], None]:
        """Draws the next fault and prints it.

        Args:
            at_s: Seconds since faults began.

        Returns:
            A function that injects the fault and heals it.
        """
        generator = self._generator
        chance = generator.random()
        if chance < 0.08:
            worker = generator.choice(self._site.workers)
            _print_fault(at_s, "worker restarts", worker.name)
            return worker.restart_if_allowed
        unaffected = [
            n for n in self._site.nodes if n.number not in self._current_faults
        ]
        if not unaffected:
            return lambda: None
        node = generator.choice(unaffected)
        if chance < 0.11:
            # Kills all nodes without a current fault together; they keep their
            # disks.
            _print_fault(at_s, "kill all", "all")
            return lambda: self._kill_all(unaffected)
        # Two lost disks, or one together with a node that is down, exceed the
        # failures that the deployment must tolerate.
        is_undisturbed = not self._current_faults and self._site.are_ready()
        is_wipe_due = time.monotonic() - self._last_wipe_s > _WIPE_EVERY_S
        if chance < 0.2 and node.has_disk and is_undisturbed and is_wipe_due:
            self._last_wipe_s = time.monotonic()
            _print_fault(at_s, "wipe", str(node.number))
            return lambda: self._run_fault(node, "wipe", _wipe)
        name, fault = generator.choice(_FAULTS)
        _print_fault(at_s, name, str(node.number))
        return lambda: self._run_fault(node, name, fault)

    def _run_fault(self, node: _Node, name: str, fault: _Fault) -> None:
        self._current_faults[node.number] = name
        fault(node, random.Random(self._generator.random()))
        del self._current_faults[node.number]

    def _kill_all(self, nodes: list[_Node]) -> None:
        for node in nodes:
            self._current_faults[node.number] = "kill all"
            node.kill()
        gevent.sleep(0.3)
        for node in nodes:
            node.start()
            del self._current_faults[node.number]


def _wipe(node: _Node, generator: random.Random) -> None:
    node.wipe()
    gevent.sleep(generator.uniform(0.1, 1.5))
    node.start()
    # No other disk may be wiped until this node can vote again.
    gevent.sleep(_WIPE_EVERY_S / 2)


def _print_fault(at_s: float, fault: str, of: str) -> None:
    print(f"at_s={at_s:.1f} fault={fault!r} of={of}", flush=True)


def run_soak(_arguments: list[str]) -> None:
    """Runs the seeds and exits with status 1 if one has a breach."""
    failed = 0
    for seed in range(_SEED.value, _SEED.value + _RUNS.value):
        stamp = time.strftime("%Y%m%d-%H%M%S")
        folder = pathlib.Path(_FOLDER.value) / f"node-soak-{seed}-{stamp}"
        soak = Soak(seed, folder)
        breaches = soak.run()
        print(f"seed={seed} breaches={len(breaches)} {soak.describe()}")
        for breach in breaches[:20]:
            print(f"seed={seed} breach={breach!r}")
        if breaches:
            failed += 1
            print(f"kept={folder}", flush=True)
            continue
        shutil.rmtree(folder)
    passed = _RUNS.value - failed
    print(f"{passed} passed, {failed} failed, 0 skipped", flush=True)
    sys.exit(1 if failed else 0)


def main() -> None:
    """Parses the flags and runs the soak."""
    app.run(run_soak)


if __name__ == "__main__":
    main()
