"""Machines that each run a replica fail every other task that they start, for a few seconds.

Afterwards they are sound and almost empty, and the cloud has no further machines. A job that is
submitted then waits.
"""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standin.site import BROKEN, HELD, Site, job, main  # noqa: E402

MACHINES = 2
TROUBLE_S = 5.0
WAIT_S = 90.0
"""The bound of the rule."""
POLL_INTERVAL_S = 5.0
VELD64 = {
    "sku": "veld64",
    "vcpus": 64.0,
    "cards": 0.0,
    "mem_gb": 256.0,
    "price": 4.24,
    "spot_price": 1.16,
    "local_gb": 50.0,
    "fetch_gb_per_s": 0.3,
    "ready_s": 20.0,
    "sites": ["a"],
}
SERVICE, JOB_IN_TROUBLE, JOB_AFTERWARDS = (f"run-00000{n}" for n in range(1, 4))


def machines_on_which(site: Site, ref: str) -> int:
    """Return on how many machines a task of a job began to run."""
    return sum(ref in worker.started for worker in site.workers.values())


async def case(site: Site) -> int:
    """Return the verdict."""
    await site.submit(
        job(
            SERVICE,
            jobclass="tariffapi",
            shape="daemon",
            rank="production",
            pieces=MACHINES,
            guess_s=0.0,
        )
    )
    await site.require(
        "each machine runs a replica", lambda: machines_on_which(site, SERVICE) == MACHINES, 20.0
    )
    for worker in site.workers.values():
        worker.fails_tasks = site.trouble
    site.note("trouble-begins" if site.trouble else "no-trouble")
    await site.submit(job(JOB_IN_TROUBLE, pieces=MACHINES, vcpus=40.0))
    await site.require(
        "each machine started a task of the first job",
        lambda: machines_on_which(site, JOB_IN_TROUBLE) == MACHINES,
        10.0,
    )
    await asyncio.sleep(TROUBLE_S)
    for worker in site.workers.values():
        worker.fails_tasks = False
    site.note("trouble-is-over")

    await site.submit(job(JOB_AFTERWARDS, pieces=2))
    accepted_at = next_poll_at = time.monotonic()
    had_room = True
    while site.started(JOB_AFTERWARDS) == 0 and time.monotonic() < accepted_at + WAIT_S:
        had_room = had_room and any(worker.free("vcpus") >= 1.0 for worker in site.workers.values())
        if time.monotonic() >= next_poll_at:
            next_poll_at += POLL_INTERVAL_S
            await site.poll(JOB_AFTERWARDS)
        await asyncio.sleep(0.1)
    site.note(
        "result",
        tasks_started=site.started(JOB_AFTERWARDS),
        after_s=f"{time.monotonic() - accepted_at:.1f}",
        machines_had_room=had_room,
        free_cpus=[worker.free("vcpus") for worker in site.workers.values()],
    )
    return BROKEN if site.started(JOB_AFTERWARDS) == 0 and had_room else HELD


if __name__ == "__main__":
    main(case, Site(HERE, [VELD64], ["clearance"]), {"veld64": MACHINES})
