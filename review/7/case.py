"""A job is cancelled while one controller is refused; then the state service is out for all.

Afterwards users send that controller jobs that need the cancelled one.
"""

import asyncio
from pathlib import Path
from typing import Any

from bench import TROUBLE, Bench, CannotRunError, Site, job, run_case
from http11 import NoAnswerError
from state import Limits

CANCEL_S = 30.0
REFUSED_S = 1.0  # for which the state service refuses one controller alone
OUT_S = 33.0  # for which it is out for all: longer than `cancel_s`
USERS = 12
LATE, OTHER = "host-1", "host-0"

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
    capacity={},  # the cloud has no machines: the jobs wait
    limits=Limits(250.0, 80.0, 8.0, 48),
)


async def probe(bench: Bench, probes: list[bool]) -> None:
    """Probe the controller once a second, as the load balancer does."""
    while True:
        try:
            status, _ = await bench.once(LATE, "GET", "/healthz", timeout=1.0)
        except NoAnswerError:
            status = 0
        bench.note(f"load balancer: GET /healthz at {LATE}: {status}")
        probes.append(status == 200)
        await asyncio.sleep(1.0)


async def play(bench: Bench) -> str | None:
    """Cancel a job behind the back of one controller, then submit jobs that need it there."""
    state = bench.state
    await bench.submit(job(1), lambda _: 5.0, label=OTHER)
    probes: list[bool] = []
    balancer = asyncio.ensure_future(probe(bench, probes))
    await asyncio.sleep(1.0)
    if TROUBLE:
        bench.note(f"the state service refuses {LATE}")
        state.refused.add(LATE)
    told = await bench.cancel("job-1", label=OTHER)
    told_at = bench.at
    if told != "aborted":
        raise CannotRunError(f"the cancellation was answered {told}")
    await asyncio.sleep(REFUSED_S)
    if TROUBLE:
        bench.note("the state service is out")
        state.set_out(True)
        state.refused.clear()
    broken: list[str] = []

    async def user(number: int) -> None:
        await asyncio.sleep(OUT_S - 4.0 + 0.09 * number)
        while probes[-2:] != [True, True]:  # the load balancer sends nobody there
            await asyncio.sleep(0.1)
        one: dict[str, Any] = job(100 + number, waits_on=["job-1"])
        status, answer = await bench.submit(one, lambda _: 5.0, label=LATE)
        late_s = bench.at - told_at
        if answer and answer["status"] in ("queued", "running") and late_s > CANCEL_S:
            broken.append(
                f"orphaned: {one['id']} is called {answer['status']} ({status}) {late_s:.1f} s "
                "after the user of job-1, which it needs, was told that job-1 is cancelled"
            )

    users = [asyncio.ensure_future(user(number)) for number in range(USERS)]
    await asyncio.sleep(OUT_S)
    state.set_out(False)
    bench.note("the state service is there")
    await asyncio.gather(*users)
    balancer.cancel()
    return broken[0] if broken else None


if __name__ == "__main__":
    run_case(str(Path(__file__).resolve().parent), SITE, play)
