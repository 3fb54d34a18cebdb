"""Two routes are removed and come back with their names exchanged."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "stand3"))

import small_site  # noqa: E402

# Time between two versions, above config_apply_ms.
PAUSE_S = 2.5


def play(site, has_trouble):
    first = small_site.job_id()
    second = small_site.job_id()
    short = [{"count": 2, "cpu": 500, "mem_mb": 64, "estimate_ms": 300}]
    long = [{"count": 2, "cpu": 500, "mem_mb": 64, "estimate_ms": 9000},
            {"count": 4, "cpu": 500, "mem_mb": 64, "estimate_ms": 9000,
             "depends_on": [0]}]
    if not site.submit(first, short, "ms=300", queue=0):
        raise small_site.CannotRunError("the submission to /q0/ was not accepted")
    if not site.submit(second, long, "ms=9000", queue=1):
        raise small_site.CannotRunError("the submission to /q1/ was not accepted")
    site.wait(lambda: site.state(first, 0)[0] == "completed", 10, "/q0/ completes")
    site.wait(lambda: any(s[1].startswith(second) for s in site.starts), 10,
              "/q1/ runs")
    base = site.config(1)["routes"]
    # The place of a route stays with its service; only names are exchanged.
    back = [dict(route) for route in base]
    if has_trouble:
        back[0]["name"], back[1]["name"] = base[1]["name"], base[0]["name"]
    for version, routes in ((2, []), (3, back[:1]), (4, back)):
        if not site.put(site.config(version, routes=routes)):
            raise small_site.CannotRunError(f"version {version} was not acknowledged")
        site.record.write(f"version {version}: " + (", ".join(
            f"{r['name']} at {r['path_prefix']} to {r['service']}" for r in routes)
            or "no routes"))
        time.sleep(PAUSE_S)
    seen = {}
    for name, job in (("handed in at /q0/", first), ("handed in at /q1/", second)):
        for queue in (0, 1):
            answer = None
            for _ in range(20):
                answer = site.call("GET", job, None, queue)
                if answer and answer[0] in (200, 410):
                    break
                time.sleep(0.2)
            seen[job, queue] = answer and answer[0]
            site.record.write(f"GET /q{queue}/{job} ({name}): {answer and answer[:2]}")
    time.sleep(6)
    services = {e.id: e.service for e in site.executors}
    pools = sorted({services.get(s[3]) for s in site.starts
                    if s[1].startswith(second + ".0.1.")} - {None})
    site.record.write(f"step 1 of {second} has started on executors of {pools};"
                      f" /q1/ has always had {base[1]['service']}")
    broken = []
    by_place = seen[first, 0] == 200 and seen[second, 1] == 200
    by_name = seen[first, 1] == 200 and seen[second, 0] == 200
    if not by_place and not by_name:
        broken.append("LOST: an accepted submission is answered 410, whether a queue"
                      " is known by its place or by its name")
    if any(pool != base[1]["service"] for pool in pools):
        broken.append(f"ROUTE: subtasks of /q1/ start on executors of {pools}")
    return "; ".join(broken)


small_site.run_case(pathlib.Path(__file__).resolve().parent, play, executors=3,
                  services=("huvo11a", "kafi81c"))
