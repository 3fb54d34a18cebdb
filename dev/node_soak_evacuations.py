"""Evacuations in the node soak, and the checks of their promises.

An operator begins and ends evacuations of data centres beside the faults, and
sends each order again, unchanged and to any node, until it is acknowledged.
"""

import dataclasses
import json
import random
import time
import typing

import gevent

from dev import node_soak_site

# The platform allows 5 s from the acknowledgement to the last start. Workers
# obey an answer for 1 s, so that no start is later than that by much.
_LAST_START_S = 2.0
# Attempts at an order that were cut off or delayed can arrive until then, so
# that a data centre is not evacuated again before.
_REST_S = 8.0
# Data centres that are evacuated in turn; further workers are in another one.
_EVACUATED = ("north", "south")


@dataclasses.dataclass
class Evacuation:
    """An evacuation as its operator knows it.

    Attributes:
        data_centre: Name of the data centre.
        acked_s: When its begin was acknowledged, in seconds of the monotonic
            clock.
        end_sent_s: When its end was first sent.
    """

    data_centre: str
    acked_s: float
    end_sent_s: float


class SoakEvacuations:
    """The operator who evacuates data centres, and what it has seen."""

    def __init__(self, site: node_soak_site.SoakSite, seed: int) -> None:
        self._site = site
        self._generator = random.Random(seed + 3)
        self._evacuations: list[Evacuation] = []
        self._breaches: list[str] = []
        self._is_stopping = False
        self._task: typing.Any = None

    def start(self) -> None:
        """Starts the operator."""
        self._task = gevent.spawn(self._run)

    def stop(self, timeout_s: float) -> None:
        """Ends the operator and all evacuations.

        Args:
            timeout_s: Time in seconds within which all evacuations must end.
        """
        self._is_stopping = True
        ends_s = time.monotonic() + timeout_s
        gevent.joinall([self._task], timeout=timeout_s)
        while time.monotonic() < ends_s:
            listed = self._list()
            if listed == ():
                return
            for name in listed or ():
                self._send(name, "end")
            gevent.sleep(0.2)
        self._breaches.append("evacuations have not ended")

    def kill(self) -> None:
        """Kills the operator's greenlet."""
        if self._task is not None:
            self._task.kill()

    def count(self) -> int:
        """Counts the evacuations that were begun."""
        return len(self._evacuations)

    def find_breaches(self) -> list[str]:
        """Checks the promises.

        Returns:
            Descriptions of the breaches found.
        """
        breaches = list(self._breaches)
        places = {
            worker.name: worker.data_centre for worker in self._site.workers
        }
        for task, _, worker, at_s in self._site.starts:
            for evacuation in self._evacuations:
                last_s = evacuation.acked_s + _LAST_START_S
                if places[worker] != evacuation.data_centre:
                    continue
                if last_s < at_s < evacuation.end_sent_s:
                    late_s = at_s - evacuation.acked_s
                    breaches.append(
                        f"{task} starts on {worker}, whose data centre"
                        f" {evacuation.data_centre} has been evacuated for"
                        f" {late_s:.1f} s"
                    )
        return breaches

    def _run(self) -> None:
        generator = self._generator
        rested_s = dict.fromkeys(_EVACUATED, 0.0)
        while not self._is_stopping:
            for name in _EVACUATED:
                self._sleep(generator.uniform(0.3, 2.0))
                self._sleep(rested_s[name] - time.monotonic())
                if self._is_stopping:
                    return
                self._evacuate(name)
                rested_s[name] = time.monotonic() + _REST_S

    def _evacuate(self, name: str) -> None:
        self._order(name, "begin")
        acked_s = time.monotonic()
        found = self._list()
        if found is not None and name not in found:
            self._breaches.append(f"{name} is not listed after its begin")
        self._sleep(self._generator.uniform(3.0, 8.0))
        evacuation = Evacuation(name, acked_s, time.monotonic())
        self._evacuations.append(evacuation)
        self._order(name, "end")

    def _sleep(self, duration_s: float) -> None:
        ends_s = time.monotonic() + duration_s
        while time.monotonic() < ends_s and not self._is_stopping:
            gevent.sleep(0.05)

    def _order(self, name: str, change: str) -> None:
        while not self._send(name, change):
            gevent.sleep(0.1)

    def _send(self, name: str, change: str) -> bool:
        """Sends an order once; returns whether it was acknowledged."""
        node = self._generator.randrange(len(self._site.nodes))
        path = f"/v1/evacuate/{name}/{change}"
        answer = self._site.call_control(node, "POST", path)
        if answer is None:
            return False
        if 400 <= answer[0] < 500:
            self._breaches.append(f"{change} of {name}: {answer}")
        return bool(answer[0] == 200)

    def _list(self) -> tuple[str, ...] | None:
        """Lists the data centres that are evacuated; None without answer."""
        node = self._generator.randrange(len(self._site.nodes))
        answer = self._site.call_control(node, "GET", "/v1/evacuate")
        if answer is None or answer[0] != 200:
            return None
        rows = json.loads(answer[2])["evacuations"]
        return tuple(row["zone"] for row in rows)
