"""One process killed at the first start keeps the deployment down for good."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import standins  # noqa: E402

# After the start of all machines, which is before the first membership.
KILL_AFTER_S = 0.2
# A process that is killed is restarted after a short delay.
RESTART_S = 1.0
WATCH_S = 40.0


def play(site, has_trouble):
    for node in site.nodes:
        node.start()
    site.record.write("all machines have started, with bootstrap true")
    if has_trouble:
        time.sleep(KILL_AFTER_S)
        first = site.nodes[0]
        first.kill()
        site.record.write(f"the process of {first.ip} is killed")
        time.sleep(RESTART_S)
        first.start()
        site.record.write(f"the process of {first.ip} starts again; bootstrap is"
                          f" {first.bootstraps} in its settings")
    # The last event of the core; it is stable from contact_ms later on.
    event = time.monotonic()
    stable = event + standins.BOUNDS["contact_ms"] / 1000.0
    late = stable + standins.BOUNDS["ack_timeout_ms"] / 1000.0
    document = site.config(1)
    acked = None
    answers = {}
    while time.monotonic() < event + WATCH_S and acked is None:
        for node in site.nodes:
            answer = standins.request(node.control, "POST", "/v1/config/put", document)
            status = answer[0] if answer else None
            answers[node.ip, status] = answers.get((node.ip, status), 0) + 1
            if status == 200:
                acked = time.monotonic()
                break
        time.sleep(0.2)
    site.record.write(f"answers to the first config: {answers}")
    site.record.write(f"processes that have ended:"
                      f" {[n.ip for n in site.nodes if n.process.poll() is not None]}")
    if acked is not None:
        site.record.write(f"acknowledged {acked - event:.1f} s after the last event")
    if acked is None or acked > late:
        return ("Acks: a valid config has no ack"
                f" {(acked or time.monotonic()) - stable:.1f} s after the core has"
                " become stable, with all processes running")
    return ""


standins.run_case(pathlib.Path(__file__).resolve().parent, play, nodes=5, starts=False)
