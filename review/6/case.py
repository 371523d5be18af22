"""One user submits a job with a mistake in an amount; other teams' jobs follow."""

import asyncio
from pathlib import Path

from bench import TROUBLE, Bench, Site, job, run_case
from state import Limits

MISTAKE = 1e-310  # of a GPU for each task
JOBS = 10
WATCHED_S = 100.0

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
            "boot_s": 2.0,
            "sites": ["a", "b", "c"],
        }
    ],
    capacity={("box", zone): 6 for zone in "abc"},
    limits=Limits(80.0, 20.0, 8.0, 12),
)


async def play(bench: Bench) -> str | None:
    """Submit the jobs, and look whether any task starts."""
    fleet = bench.fleet
    if TROUBLE:
        mistaken = job(1, owner="team-5", accelerators=MISTAKE)
        await bench.submit(mistaken, lambda _: 5.0)
    accepted = 0
    for number in range(JOBS):
        one = job(100 + number, owner=f"team-{number % 5}", accelerators=1.0)
        status, _ = await bench.submit(one, lambda _: 5.0)
        accepted += status in (200, 201)
    end = bench.at + WATCHED_S
    while bench.at < end and not fleet.starts:
        await asyncio.sleep(0.5)
    if fleet.starts:
        return None
    return (
        f"nothing_ran: no task was started in {WATCHED_S:g} s; {accepted} jobs of other teams are "
        f"accepted, {len(fleet.hires)} requests for machines came, all of the cloud's are free"
    )


if __name__ == "__main__":
    run_case(str(Path(__file__).resolve().parent), SITE, play)
