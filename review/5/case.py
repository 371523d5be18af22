"""The state service is out for some seconds just as machines come up for jobs that wait."""

import asyncio
from pathlib import Path
from typing import Any

from bench import TROUBLE, Bench, Site, job, run_case
from state import Limits

MACHINES_A_ZONE = 8
ONE_TASK_JOBS, LARGE_JOBS, LARGE_TASKS = 60, 2, 20
RUN_S = 10.0
UP_AFTER_S = 6.5  # after the first submission, the machines come up at about this time
OUT_S = 5.0
WAIT_S = 90.0  # once the troubles are over, no job may wait that long beside room
END_S = 115.0

SITE = Site(
    teams=[
        {"name": f"team-{number}", "cpus": 0.0, "cpus_max": 0.0, "gpus": 16.0, "gpus_max": 50.0}
        for number in range(6)
    ],
    kinds=[
        {
            "sku": "box",
            "vcpus": 12.0,
            "accelerators": 2.0,
            "memory_gb": 48.0,
            "local_gb": 100.0,
            "pull_gb_per_s": 1.0,
            "hourly": 6.0,
            "low_price": 2.0,
            "boot_s": 6.0,
            "sites": ["a", "b", "c"],
        }
    ],
    capacity={("box", zone): MACHINES_A_ZONE for zone in "abc"},
    limits=Limits(80.0, 20.0, 8.0, 12),
)


async def outage(bench: Bench) -> None:
    """Begin an outage of the state service once the first machine is up."""
    while not any(worker.port for worker in bench.fleet.workers.values()):
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.3)
    bench.note("the state service is out")
    bench.state.set_out(True)
    await asyncio.sleep(OUT_S)
    bench.state.set_out(False)
    bench.note("the state service is back")


async def play(bench: Bench) -> str | None:
    """Submit jobs, let machines come up and the service fail, look for jobs that wait."""
    fleet = bench.fleet
    up_at = bench.at + UP_AFTER_S
    fleet.boot_s = lambda _: max(1.0, up_at - bench.at) + bench.rng.uniform(0.0, 0.5)
    jobs = [job(100 + n, owner="team-1") for n in range(ONE_TASK_JOBS)]
    jobs += [job(500 + n, owner="team-1", pieces=LARGE_TASKS) for n in range(LARGE_JOBS)]
    waits_since: dict[str, float] = {}

    async def submit(one: dict[str, Any], delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        status, _ = await bench.submit(one, lambda _: RUN_S)
        if status in (200, 201):
            waits_since[one["id"]] = bench.at

    burst = asyncio.gather(*(submit(one, 0.06 * n) for n, one in enumerate(jobs)))
    trouble = asyncio.ensure_future(outage(bench)) if TROUBLE else None
    while bench.at < END_S:
        await asyncio.sleep(0.25)
        begun = {piece.partition("/")[0] for _, piece, _ in fleet.starts}
        waiting = [one for one in jobs if one["id"] in waits_since and one["id"] not in begun]
        if burst.done() and not waiting:
            return None
        for one in waiting:
            room = any(worker.port and worker.room(one) for worker in fleet.workers.values())
            if not room or (trouble is not None and not trouble.done()):
                waits_since[one["id"]] = bench.at
            elif bench.at - waits_since[one["id"]] > WAIT_S:
                return (
                    f"{one['id']} has waited for {WAIT_S:g} s beside room; {len(waiting)} of "
                    f"{len(jobs)} accepted jobs wait, {len(fleet.starts)} tasks ever began; "
                    f"the state service answered 400 {bench.state.refused_400} times"
                )
    return None


if __name__ == "__main__":
    run_case(str(Path(__file__).resolve().parent), SITE, play)
