"""The cloud has no machine without GPUs; a small job waits beside a replica on one that has them.

The machine with GPUs is the only one that the cloud rents out. A service's replica runs on it, and
the rest of the machine is free all the time. The job needs no GPUs and may use any machine.
"""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standin.site import BROKEN, HELD, Site, job, main  # noqa: E402

WAIT_S = 90.0
"""The bound of the rule."""
POLL_INTERVAL_S = 5.0
KAROO16G = {
    "sku": "karoo16g",
    "vcpus": 16.0,
    "cards": 2.0,
    "mem_gb": 128.0,
    "price": 7.46,
    "spot_price": 2.05,
    "local_gb": 60.0,
    "fetch_gb_per_s": 1.0,
    "ready_s": 25.0,
    "sites": ["a"],
}
VELD64 = {
    **KAROO16G,
    "sku": "veld64",
    "vcpus": 64.0,
    "cards": 0.0,
    "mem_gb": 256.0,
    "price": 4.24,
    "spot_price": 1.16,
    "fetch_gb_per_s": 0.3,
    "ready_s": 20.0,
}
SERVICE, JOB = "run-000001", "run-000002"


async def case(site: Site) -> int:
    """Return the verdict."""
    await site.submit(
        job(SERVICE, jobclass="tariffapi", shape="daemon", rank="production", guess_s=0.0)
    )
    await site.require("the replica runs", lambda: site.running(SERVICE) == 1, 25.0)
    await asyncio.sleep(2.0)

    await site.submit(job(JOB, pieces=2))
    accepted_at = next_poll_at = time.monotonic()
    had_room = True
    while site.started(JOB) == 0 and time.monotonic() < accepted_at + WAIT_S:
        had_room = had_room and any(worker.free("vcpus") >= 1.0 for worker in site.workers.values())
        if time.monotonic() >= next_poll_at:
            next_poll_at += POLL_INTERVAL_S
            await site.poll(JOB)
        await asyncio.sleep(0.1)
    site.note(
        "result",
        tasks_started=site.started(JOB),
        after_s=f"{time.monotonic() - accepted_at:.1f}",
        machines_had_room=had_room,
        free_cpus={host: worker.free("vcpus") for host, worker in site.workers.items()},
    )
    return BROKEN if site.started(JOB) == 0 and had_room else HELD


if __name__ == "__main__":
    the_site = Site(HERE, [KAROO16G, VELD64], ["clearance"])
    the_site.capacity = {"karoo16g": 1, "veld64": 0 if the_site.trouble else 1}
    main(case, the_site, {})
