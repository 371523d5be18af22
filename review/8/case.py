"""A user sends a job whose list of allowed machine types is empty: it fits no allowed type."""

import asyncio
from pathlib import Path
from typing import Any

from bench import TROUBLE, Bench, Site, job, run_case
from fleet import Worker
from state import Limits

WATCHED_S = 30.0

SITE = Site(
    teams=[{"name": "team-0", "cpus": 0.0, "cpus_max": 0.0, "gpus": 16.0, "gpus_max": 40.0}],
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
            "boot_s": 10.0,
            "sites": ["a", "b", "c"],
        }
    ],
    capacity={("box", zone): 2 for zone in "abc"},
    limits=Limits(250.0, 80.0, 8.0, 48),
)


async def play(bench: Bench) -> str | None:
    """Send jobs, and look where their tasks start."""
    fleet = bench.fleet
    broken: list[str] = []

    def came(worker: Worker, piece: str) -> None:
        allowed: list[str] | None = fleet.jobs[piece.partition("/")[0]]["flavours"]
        if allowed is not None and worker.kind["sku"] not in allowed:
            broken.append(f"wrong_place: {piece} of a job that allows {allowed} starts on 'box'")

    fleet.on_came = came
    sent: list[dict[str, Any]] = [job(1), job(2, flavours=["box"])]
    if TROUBLE:
        sent.append(job(3, flavours=[]))
    for one in sent:
        await bench.submit(one, lambda _: 5.0)
    end = bench.at + WATCHED_S
    while bench.at < end and not broken:
        await asyncio.sleep(0.2)
        if {"job-1/0", "job-2/0"} <= fleet.done and not TROUBLE:
            break
    return broken[0] if broken else None


if __name__ == "__main__":
    run_case(str(Path(__file__).resolve().parent), SITE, play)
