"""An answer of the state service gets lost while a small array starts place by place."""

import asyncio
import math
from pathlib import Path
from typing import Any

from bench import TROUBLE, Bench, Site, job, run_case
from fleet import MIN_REPORT_S, Worker
from state import Fault, Limits

# Groups of machines, each for one round; a machine has room for one task of the small arrays.
GROUPS = [(f"place-{number}", zone) for number in (1, 2) for zone in ("a", "b", "c")]
PLACES_A_GROUP = 4
PLACES = PLACES_A_GROUP * len(GROUPS)
OTHERS = 4  # machines on which short tasks come and go
# "Occasionally a few hundred" milliseconds, with and without the disruption.
SLOW_S, SLOWER_S = 0.3, 0.7
NEXT_S = 0.15  # an answer is lost, and the service hears of the next change later than that
END_S = 105.0


def kind(sku: str) -> dict[str, Any]:
    """Return a machine type."""
    return {
        "sku": sku,
        "vcpus": 4.0,
        "accelerators": 2.0,
        "memory_gb": 48.0,
        "local_gb": 100.0,
        "pull_gb_per_s": 1.0,
        "hourly": 6.0,
        "low_price": 2.0,
        "boot_s": 25.0,
        "sites": ["a", "b", "c"],
    }


SITE = Site(
    teams=[{"name": "team-0", "cpus": 0.0, "cpus_max": 0.0, "gpus": 16.0, "gpus_max": 50.0}],
    kinds=[kind("place-1"), kind("place-2"), kind("other")],
    capacity={**dict.fromkeys(GROUPS, PLACES_A_GROUP), ("other", "a"): OTHERS},
    limits=Limits(250.0, 80.0, 8.0, 48),
)


class Round:
    """One small array, and what the state service has seen of it."""

    def __init__(self, bench: Bench, small_id: str) -> None:
        self.bench = bench
        self.small_id = small_id
        self.owner = ""
        self.first = asyncio.Event()
        self.lost_at = math.inf
        self.next_change = asyncio.Event()
        self.second = asyncio.Event()

    def row(self, body: Any) -> bool:
        """Whether a transaction writes bindings of the small array."""
        return any(
            "/p/" in write.get("write", "") and any(row[0] == self.small_id for row in write["v"])
            for write in body["writes"]
        )

    def fault(self, label: str, _method: str, path: str, body: Any) -> Fault | None:
        """Say what happens to a request to the state service."""
        now = self.bench.at
        if path != "/txn" or not body.get("writes"):
            return None
        if self.row(body):
            if not self.first.is_set():
                self.owner = label
                self.first.set()
                self.lost_at = now
                if TROUBLE:
                    self.bench.note(f"state: carried out, its answer to {label} is lost: {body}")
                return Fault(0.05, 0.0, lost=TROUBLE)
            if self.next_change.is_set() and not self.second.is_set():
                self.second.set()
                return Fault(SLOWER_S, 0.0)
        elif label == self.owner and now > self.lost_at + NEXT_S and not self.next_change.is_set():
            self.next_change.set()
            return Fault(SLOW_S, 0.0)
        return None


def end_long_task(bench: Bench, group: tuple[str, str]) -> None:
    """Let one long task of a group complete, on a machine that may report at once."""
    fleet = bench.fleet

    def running(worker: Worker) -> tuple[str, int] | None:
        for key, row in worker.pieces.items():
            if key[0].startswith("job-1/") and row[0] == "running":
                return key
        return None

    workers = [
        worker
        for worker in fleet.workers.values()
        if (worker.kind["sku"], worker.site) == group and running(worker) is not None
    ]
    ready = [worker for worker in workers if fleet.now - worker.reported_at > MIN_REPORT_S]
    if ready or workers:
        worker = bench.rng.choice(ready or workers)
        worker.pieces[running(worker)][2] = fleet.now


async def wait(event: asyncio.Event, seconds: float) -> None:
    """Wait for an event, for some seconds at most."""
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        pass


async def play(bench: Bench) -> str | None:
    """Let small arrays take over places one by one, and lose the answer about the first."""
    fleet = bench.fleet
    await bench.submit(
        job(1, pieces=PLACES, vcpus=4.0, flavours=["place-1", "place-2"], guess_s=600.0),
        lambda _: math.inf,
    )
    await bench.submit(job(2, pieces=4000, flavours=["other"], guess_s=1.0), lambda _: 0.6)
    await bench.until(
        lambda: len({p for _, p, _ in fleet.starts if p.startswith("job-1/")}) == PLACES,
        30.0,
        "all places are taken",
    )
    for number, group in enumerate(GROUPS):
        small = job(
            100 + number, pieces=3, vcpus=4.0, flavours=[group[0]], site=group[1], guess_s=600.0
        )
        this = Round(bench, small["id"])
        bench.state.fault = this.fault
        await bench.submit(small, lambda _: math.inf)
        await asyncio.sleep(2.0)
        bench.note(f"round {number}")
        end_long_task(bench, group)
        await wait(this.first, 5.0)
        await wait(this.next_change, 3.0)
        end_long_task(bench, group)
        await asyncio.sleep(SLOW_S - 0.05)
        end_long_task(bench, group)
        await asyncio.sleep(1.0)
        end_long_task(bench, group)
        await asyncio.sleep(3.0)
        if fleet.breaches or bench.at > END_S:
            break
    return fleet.breaches[0] if fleet.breaches else None


if __name__ == "__main__":
    run_case(str(Path(__file__).resolve().parent), SITE, play)
