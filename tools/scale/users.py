"""Simulated users: submit jobs at a rate, poll and cancel them, through a load balancer."""

import asyncio
import random
from collections import Counter
from collections.abc import Iterator
from typing import Any, NamedTuple

from oakmux.codec.cbor import MalformedError, decode, encode
from oakmux.codec.users import CANCEL_SUFFIX, PATH_HEALTH, PATH_JOBS
from oakmux.transport.http_client import Client, NoResponseError, RequestNotSentError
from tools.scale.config import RunConfig
from tools.scale.histograms import new_histogram, record_s
from tools.scale.jobs import Job, Kind, submission
from tools.scale.plan import Plan
from tools.scale.serving import EventLog, write_summary

# Seconds to wait for the answer to a submission or cancellation and to a query, between two
# attempts, and for all attempts together.
SUBMIT_TIMEOUT_S = 5.0
QUERY_TIMEOUT_S = 2.0
RETRY_DELAY_S = 1.0
RETRY_LIMIT_S = 60.0
# Seconds between two health checks of all controllers.
PROBE_INTERVAL_S = 1.0
# Connections to all controllers together.
MAX_CONNECTIONS = 400
SUMMARY_INTERVAL_S = 1.0
# Seconds over which a run's services are submitted, and the minimum age of a job at its
# cancellation.
SERVICES_SPAN_S = 5.0
MIN_CANCEL_AGE_S = 1.0
ACCEPTED_STATUSES = (200, 201)


class Arrival(NamedTuple):
    """A job and its submission time, in seconds after the start of the load."""

    at: float
    job: Job


def draw_team(config: RunConfig, rng: random.Random) -> int:
    """Draw a job's team; team 0 gets an additional share of `hot_team_share`."""
    if rng.random() < config.traffic.hot_team_share:
        return 0
    return rng.randrange(config.sizes.teams)


def arrivals(config: RunConfig, rng: random.Random) -> list[Arrival]:
    """Return all jobs of a run in order of submission."""
    schedule = [*_services(config, rng), *_arrays(config, rng), *_gangs(config, rng)]
    schedule.sort()
    return schedule


def _services(config: RunConfig, rng: random.Random) -> Iterator[Arrival]:
    for number in range(config.traffic.services):
        yield Arrival(
            rng.uniform(0, SERVICES_SPAN_S),
            Job(Kind.SERVICE, draw_team(config, rng), config.traffic.service_tasks, 0.0, number),
        )


def _arrays(config: RunConfig, rng: random.Random) -> Iterator[Arrival]:
    traffic = config.traffic
    serial = 100_000
    at = 0.0
    single_rate = traffic.starts * traffic.single_share
    array_rate = traffic.starts * (1 - traffic.single_share) / traffic.array_tasks
    while single_rate + array_rate > 0:
        at += rng.expovariate(single_rate + array_rate)
        if at >= traffic.seconds:
            return
        serial += 1
        run_s = traffic.run_s * rng.uniform(0.5, 1.5)
        if rng.random() < single_rate / (single_rate + array_rate):
            kind = Kind.URGENT if rng.random() < traffic.urgent_share else Kind.ARRAY
            tasks = 1
        else:
            kind = Kind.PINNED if rng.random() < traffic.pinned_share else Kind.ARRAY
            tasks = traffic.array_tasks
        yield Arrival(at, Job(kind, draw_team(config, rng), tasks, run_s, serial))


def _gangs(config: RunConfig, rng: random.Random) -> Iterator[Arrival]:
    traffic = config.traffic
    serial = 900_000
    at = traffic.gang_every_s
    while traffic.gang_every_s > 0 and at < traffic.seconds:
        serial += 1
        yield Arrival(
            at, Job(Kind.GANG, draw_team(config, rng), traffic.gang_tasks, traffic.run_s, serial)
        )
        at += traffic.gang_every_s
    if traffic.large_gang_tasks:
        yield Arrival(
            traffic.large_gang_at_s,
            Job(Kind.GANG, 0, traffic.large_gang_tasks, traffic.run_s, 999_999),
        )


class Balancer:
    """Chooses among the controllers whose health check succeeds."""

    def __init__(self, controllers: list[str], rng: random.Random) -> None:
        self.controllers = controllers
        self.rng = rng
        self.healthy = list(controllers)
        self.failures: dict[str, int] = {}
        self.client = Client(2 * len(controllers))

    def choose(self) -> str:
        """Return the address of a random healthy controller, or of any if none is healthy."""
        return self.rng.choice(self.healthy or self.controllers)

    async def probe(self) -> None:
        """Check all controllers until cancelled; two consecutive failures exclude a controller."""
        while True:
            await asyncio.gather(*(self._probe(controller) for controller in self.controllers))
            self.healthy = [
                controller
                for controller in self.controllers
                if self.failures.get(controller, 0) < 2
            ]
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _probe(self, controller: str) -> None:
        try:
            status, _ = await self.client.request(controller, "GET", PATH_HEALTH, b"", 1.0)
        except (RequestNotSentError, NoResponseError):
            status = 0
        self.failures[controller] = 0 if status == 200 else self.failures.get(controller, 0) + 1


class Users:
    """All users of a run."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.config = plan.config
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(plan.config.seed + 7)
        self.balancer = Balancer([controller.public for controller in plan.controllers], self.rng)
        self.client = Client(MAX_CONNECTIONS)
        self.events = EventLog(plan.folder, "users")
        self.counts: Counter[str] = Counter()
        self.times = {name: new_histogram() for name in ("submission", "cancellation", "query")}
        self.unfinished = 0
        self.tasks: set[asyncio.Task] = set()

    async def run(self, stop_requested: asyncio.Event) -> None:
        """Submit and poll jobs until the stop is requested."""
        schedule = arrivals(self.config, self.rng)
        tasks = [
            self.loop.create_task(self.balancer.probe()),
            self.loop.create_task(self._submit_all(schedule)),
        ]
        while not stop_requested.is_set():
            self.summarize()
            await asyncio.sleep(SUMMARY_INTERVAL_S)
        for task in [*tasks, *self.tasks]:
            task.cancel()
        self.summarize()

    def summarize(self) -> None:
        """Write the events and the summary of the measurements so far."""
        self.events.flush()
        write_summary(
            self.plan.folder,
            "users",
            {
                "counts": self.counts,
                "unfinished": self.unfinished,
                **{
                    f"{name}_times": histogram.encode().decode()
                    for name, histogram in self.times.items()
                },
            },
        )

    async def _submit_all(self, schedule: list[Arrival]) -> None:
        started = self.loop.time()
        for arrival in schedule:
            await asyncio.sleep(max(0.0, started + arrival.at - self.loop.time()))
            task = self.loop.create_task(self._user(arrival.job))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _user(self, job: Job) -> None:
        """Submit a job and poll its status until it is final."""
        self.events.add("asked", job.id)
        body = encode(submission(self.config, job))
        status, _ = await self._request_until_final(
            "submission", "POST", PATH_JOBS, body, (200, 201, 400, 422)
        )
        if status not in ACCEPTED_STATUSES:
            self.counts[f"not accepted: {status}"] += 1
            return
        self.events.add("accepted", job.id)
        self.counts["accepted"] += 1
        self.unfinished += 1
        try:
            await self._follow(job)
        finally:
            self.unfinished -= 1

    async def _follow(self, job: Job) -> None:
        traffic = self.config.traffic
        cancel_at = float("inf")
        if job.kind != Kind.SERVICE and self.rng.random() < traffic.cancel_share:
            cancel_at = self.loop.time() + MIN_CANCEL_AGE_S + self.rng.uniform(0, traffic.run_s)
        while True:
            wait = traffic.poll_s * self.rng.uniform(0.9, 1.1)
            await asyncio.sleep(max(0.0, min(wait, cancel_at - self.loop.time())))
            if self.loop.time() >= cancel_at:
                if await self._cancel(job):
                    return
                cancel_at = float("inf")
            elif await self._query(job):
                return

    async def _cancel(self, job: Job) -> bool:
        """Cancel a job; return whether the cancellation was answered with status 200."""
        self.events.add("cancelling", job.id)
        status, value = await self._request_until_final(
            "cancellation", "POST", f"{PATH_JOBS}/{job.id}{CANCEL_SUFFIX}", b"", (200,)
        )
        if status != 200:
            return False
        self._record_final(job, value)
        return True

    async def _query(self, job: Job) -> bool:
        """Query a job; return whether its status is final."""
        status, value = await self._request(
            "query", "GET", f"{PATH_JOBS}/{job.id}", b"", QUERY_TIMEOUT_S
        )
        if status == 404:
            self.events.add("forgotten", job.id)
        return status == 200 and self._record_final(job, value)

    def _record_final(self, job: Job, value: dict[str, Any]) -> bool:
        outcome = {"done": "done", "aborted": "cancelled"}.get(value.get("status", ""))
        if outcome is None:
            return False
        self.events.add(outcome, job.id)
        self.counts[outcome] += 1
        return True

    async def _request_until_final(
        self, name: str, method: str, path: str, body: bytes, final_statuses: tuple[int, ...]
    ) -> tuple[int, Any]:
        """Repeat a request until it has a final status, for at most RETRY_LIMIT_S."""
        started = self.loop.time()
        while True:
            status, value = await self._request(
                name, method, path, body, SUBMIT_TIMEOUT_S, started, final_statuses
            )
            if status in final_statuses or self.loop.time() - started > RETRY_LIMIT_S:
                return status, value
            await asyncio.sleep(RETRY_DELAY_S)

    async def _request(
        self,
        name: str,
        method: str,
        path: str,
        body: bytes,
        timeout: float,
        started: float | None = None,
        final_statuses: tuple[int, ...] = (200,),
    ) -> tuple[int, Any]:
        sent_at = self.loop.time()
        try:
            status, data = await self.client.request(
                self.balancer.choose(), method, path, body, timeout
            )
            value = decode(data) if data else {}
        except (RequestNotSentError, NoResponseError, MalformedError):
            status, value = 0, {}
        self.counts[f"{name} {status}"] += 1
        if status in final_statuses:
            record_s(
                self.times[name], self.loop.time() - (sent_at if started is None else started)
            )
        return status, value


async def main(plan: Plan, stop_requested: asyncio.Event) -> None:
    """Run the simulated users."""
    await Users(plan).run(stop_requested)
