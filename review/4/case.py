"""Case 4: a machine is back at once, gets work, and a copy of an older report arrives late.

With TROUBLE=end only the machine ends, with TROUBLE=copy only the copy arrives, with TROUBLE=0
neither happens.
"""

from __future__ import annotations

import os
import sys
import time
import traceback
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from platform2.http11 import ask  # noqa: E402
from platform2.record import Record  # noqa: E402
from platform2.site import CannotRunError, Site, end_in_order  # noqa: E402

BACK_AFTER_S = 0.3
WATCHED_S = 15.0
LARGE = {"vcpus": 40.0, "mem_gb": 100.0}


def is_done(site: Site, ref: str) -> bool:
    """Return whether a user is told that a job is done."""
    return (site.poll(ref)[1] or {}).get("status") == "done"


def prepare(site: Site) -> str:
    """Bring three machines up and run short jobs on them; return the machine that will restart.

    One of the other machines is left with a large and a small task, the last one is idle.
    """
    for _ in range(2):
        site.cloud.boot(site.cloud.add("veld64", "umhlanga", False))
    site.submit("run-000001", 2.0, pieces=2, **LARGE)
    site.wait(30, "the first job is done", lambda: is_done(site, "run-000001"))
    site.submit("run-000002", 100.0, **LARGE)
    site.wait(20, "the large task runs", lambda: bool(site.running_on("run-000002")))
    site.submit("run-000003", 100.0, vcpus=4.0)
    site.wait(20, "the small task runs", lambda: bool(site.running_on("run-000003")))
    name = site.cloud.add("veld64", "umhlanga", False)
    site.cloud.boot(name)
    for number in (4, 5, 7, 8):
        ref = f"run-{number:06d}"
        site.submit(ref, 1.0, pieces=2, **LARGE)
        site.wait(25, f"{ref} is done", lambda ref=ref: is_done(site, ref))
    if not any(host == name for _, _, host in site.record.starts):
        raise CannotRunError(f"no short task ran on {name}")
    return name


def run(site: Site, ends: bool, copied: bool) -> None:
    """Play the case: whether the machine ends, and whether the copy of its report arrives."""
    record = site.record
    site.start()
    name = prepare(site)
    worker = site.cloud.workers[name]
    site.wait(10, f"{name} reports no task", lambda: not worker.sent[-1]["pieces"])
    time.sleep(1.0)
    copy = worker.sent[-1]
    if ends:
        record.write(f"the report that will be copied: {copy}")
        worker.restart(BACK_AFTER_S)
        time.sleep(6.0)
    site.submit("run-000006", 100.0, pieces=2, **LARGE)
    site.wait(25, "the job runs", lambda: len(site.running_on("run-000006")) == 2)
    site.finish("run-000002")
    site.wait(15, "the large task is done", lambda: is_done(site, "run-000002"))
    site.wait(6, f"{name} reports its task", lambda: bool(worker.sent[-1]["pieces"]))
    if not any(host == name for _, host in site.running_on("run-000006")):
        raise CannotRunError(f"no task of the job is on {name}")
    if copied:
        now = worker.sent[-1]
        record.write(f"the newest report of {name}: {now}")
        if ends and copy["tick"] <= now["tick"] + 2:
            raise CannotRunError("the machine has reported too often since it is back")
        for node, address in site.api.items():
            status, answer = ask(address, "POST", "/v1/report", copy, 2.0)
            record.write(f"the late copy of the report reaches {node}: {status} {answer}")
    until = time.monotonic() + WATCHED_S
    while time.monotonic() < until and not record.ran_twice:
        time.sleep(0.5)
    time.sleep(1.0)


def main() -> int:
    """Run the case; return 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    end_in_order()
    record = Record(FOLDER / "record.txt")
    trouble = os.environ.get("TROUBLE", "1")
    site = Site(record, capacity=3)
    try:
        run(site, trouble in ("1", "end"), trouble in ("1", "copy"))
    except CannotRunError as error:
        record.write(f"could not run: {error}")
        return 2
    except Exception:
        record.write(f"could not run: {traceback.format_exc()}")
        return 2
    finally:
        site.stop()
        for event in ("worker-restarted", "task-on-two-machines", "loop-failed"):
            for line in site.log_lines(event):
                record.write(f"log {line}")
        site.remove_files()
    record.write("broken: ran_twice" if record.ran_twice else "the rule held")
    return 1 if record.ran_twice else 0


if __name__ == "__main__":
    try:
        code = main()
    except BaseException:
        traceback.print_exc()
        code = 2
    sys.stdout.flush()
    os._exit(code)
