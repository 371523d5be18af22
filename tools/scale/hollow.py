"""A process of hollow workers; each worker has its own address, connection, lease and timers."""

import asyncio
import random
from collections import Counter
from typing import Any

from hdrh.histogram import HdrHistogram

from oakmux import settings
from oakmux.codec.cbor import MalformedError, decode, encode
from oakmux.codec.workers import PATH_COMMANDS, PATH_HEARTBEAT
from oakmux.transport.http_client import Client, NoResponseError, RequestNotSentError
from oakmux.transport.http_server import Request
from tools.scale.gangs import GangEvent, GangOrder
from tools.scale.histograms import new_histogram, record_s
from tools.scale.plan import Plan
from tools.scale.serving import EventLog, listen, send_response, write_summary
from tools.scale.worker import HollowWorker, TaskKey

# Seconds between two updates of leases and tasks, and between two exchanges with the gang hub.
ADVANCE_INTERVAL_S = 0.1
GANG_EXCHANGE_INTERVAL_S = 0.1
# Seconds to wait for an answer, between two heartbeats that changes cause, and before the next
# controller is tried; the worker protocol prescribes these values.
REQUEST_TIMEOUT_S = 4.0
MIN_REPORT_INTERVAL_S = 0.5
NEXT_CONTROLLER_DELAY_S = 1.0
SUMMARY_INTERVAL_S = 1.0


class Reporter:
    """Sends a worker's heartbeats to one controller at a time."""

    def __init__(self, process: "HollowProcess", worker: HollowWorker) -> None:
        self.process = process
        self.worker = worker
        self.loop = asyncio.get_running_loop()
        self.client = Client(1)
        self.controller_index = process.rng.randrange(len(process.controller_addrs))
        self.wake = asyncio.Event()
        self.last_report_at = -1e9
        self.next_report_at = self.loop.time() + process.rng.uniform(0.0, 0.5)
        self.gone = False
        self.token_reported_at = -1e9

    def report_soon(self) -> None:
        """Bring the next heartbeat forward because the worker's state changed."""
        self.next_report_at = min(
            self.next_report_at, max(self.loop.time(), self.last_report_at + MIN_REPORT_INTERVAL_S)
        )
        self.wake.set()

    async def run(self) -> None:
        """Send heartbeats until the machine is removed."""
        while not self.gone:
            wait = self.next_report_at - self.loop.time()
            if wait <= 0:
                await self.report()
                continue
            self.wake.clear()
            try:
                async with asyncio.timeout(wait):
                    await self.wake.wait()
            except TimeoutError:
                pass

    async def report(self) -> None:
        """Send one heartbeat and apply the answer; change the controller if it is not accepted."""
        process, worker = self.process, self.worker
        worker.advance(self.loop.time())
        sent_at, agent_epoch = self.loop.time(), worker.agent_epoch
        self.last_report_at = sent_at
        body = encode(worker.report())
        process.counts["report_bytes"] += len(body)
        self.next_report_at = sent_at + process.plan.config.times.report_s * process.rng.uniform(
            0.75, 1.25
        )
        status = 0
        value: dict[str, Any] = {}
        try:
            status, data = await self.client.request(
                process.controller_addrs[self.controller_index],
                "POST",
                PATH_HEARTBEAT,
                body,
                REQUEST_TIMEOUT_S,
            )
            process.counts["answer_bytes"] += len(data)
            value = decode(data) if data else {}
        except (RequestNotSentError, NoResponseError, MalformedError):
            process.counts["reports_unanswered"] += 1
        if self.gone:
            return
        now = self.loop.time()
        record_s(process.report_times, now - sent_at)
        process.counts["reports"] += 1
        worker.advance(now)
        if status == 200:
            before = worker.fencing_token
            worker.apply_answer(sent_at, agent_epoch, value, now)
            if worker.fencing_token > before and now - self.token_reported_at > (
                process.plan.config.times.lease_s / 2
            ):
                self.token_reported_at = now
                self.report_soon()
            elif worker.dirty:
                self.report_soon()
        elif status == 421 and value.get("boss", "") in process.index_by_label:
            self.controller_index = process.index_by_label[value["boss"]]
            self.next_report_at = now + process.rng.uniform(0.0, 0.5)
        else:
            process.counts[f"reports_{status}"] += 1
            self.controller_index = (self.controller_index + 1) % len(process.controller_addrs)
            self.next_report_at = now + NEXT_CONTROLLER_DELAY_S


class HollowProcess:
    """Many hollow workers; the cloud adds and removes machines over the control address."""

    def __init__(self, plan: Plan, index: int) -> None:
        self.plan = plan
        self.index = index
        self.rng = random.Random(plan.config.seed * 1000 + index)
        self.controller_addrs = [controller.public for controller in plan.controllers]
        self.index_by_label = {
            controller.label: number for number, controller in enumerate(plan.controllers)
        }
        self.reporters: dict[str, Reporter] = {}
        self.servers: dict[str, asyncio.Server] = {}
        self.report_loops: dict[str, asyncio.Task] = {}
        self.control_tasks: set[asyncio.Task] = set()
        self.events = EventLog(plan.folder, f"hollow-{index}")
        self.gang_events: list[GangEvent] = []
        self.counts: Counter[str] = Counter()
        self.report_times: HdrHistogram = new_histogram()
        self.hub = Client(1)
        self.loop = asyncio.get_running_loop()

    async def run(self, stop_requested: asyncio.Event) -> None:
        """Serve until the stop is requested."""
        await listen(self.plan.hollow[self.index], self.control, Counter())
        gangs = self.loop.create_task(self.exchange_gangs())
        next_summary = 0.0
        while not stop_requested.is_set():
            await asyncio.sleep(ADVANCE_INTERVAL_S)
            self.advance_workers()
            if self.loop.time() >= next_summary:
                next_summary = self.loop.time() + SUMMARY_INTERVAL_S
                self.summarize()
        gangs.cancel()
        self.summarize()

    def summarize(self) -> None:
        """Write the events and the summary of the measurements so far."""
        self.events.flush()
        states: Counter[str] = Counter(
            task.state
            for reporter in self.reporters.values()
            for task in reporter.worker.tasks.values()
        )
        write_summary(
            self.plan.folder,
            f"hollow-{self.index}",
            {
                "workers": len(self.reporters),
                "tasks": states,
                "counts": self.counts,
                "report_times": self.report_times.encode().decode(),
            },
        )

    def advance_workers(self) -> None:
        """Update the leases and tasks of all workers."""
        now = self.loop.time()
        for reporter in self.reporters.values():
            reporter.worker.advance(now)
            if reporter.worker.dirty:
                reporter.report_soon()

    # --- machines ---

    def control(self, request: Request) -> None:
        """Apply an order of the cloud in the background."""
        task = self.loop.create_task(self.change_machines(request))
        self.control_tasks.add(task)
        task.add_done_callback(self.control_tasks.discard)

    async def change_machines(self, request: Request) -> None:
        """Add and remove machines; removed machines are gone before the answer is sent."""
        order = decode(request.body)
        for name in order.get("remove", ()):
            self.remove_machine(name)
        for name, address, zone in order.get("add", ()):
            await self.add_machine(name, address, zone)
        send_response(request, 200, {})

    async def add_machine(self, name: str, address: str, zone: str) -> None:
        """Start the worker of a machine that has booted."""
        worker = HollowWorker(
            self.plan.config, name, address, zone, self.loop.time(), self.observe
        )
        reporter = Reporter(self, worker)
        self.servers[name] = await listen(
            address, lambda request: self.serve(reporter, request), self.counts
        )
        self.reporters[name] = reporter
        self.report_loops[name] = self.loop.create_task(reporter.run())

    def remove_machine(self, name: str) -> None:
        """Remove a machine with its worker and tasks."""
        reporter = self.reporters.pop(name, None)
        if reporter is None:
            return
        reporter.gone = True
        reporter.wake.set()
        reporter.worker.clear("machine")
        self.servers.pop(name).close()
        task = self.report_loops.pop(name)
        task.cancel()

    def serve(self, reporter: Reporter, request: Request) -> None:
        """Serve a request to a worker's own address."""
        worker, now = reporter.worker, self.loop.time()
        if reporter.gone:
            return  # no answer, as from a machine without power
        worker.advance(now)
        if request.path == PATH_COMMANDS and request.method == "POST":
            status = worker.apply_direct_orders(decode(request.body), now)
            dirty = worker.dirty
            send_response(request, status, worker.report())
            self.counts["direct_orders"] += 1
            if dirty:
                worker.dirty = True
                reporter.report_soon()
        elif request.path == "/show":
            send_response(request, 200, worker.report())
        else:
            send_response(request, 404, {})

    # --- tasks ---

    def observe(self, verb: str, key: TaskKey, worker: HollowWorker, cause: str) -> None:
        """Log a task's event; queue the events of gangs' tasks for the hub."""
        self.events.add(verb, key.task, key.attempt, worker.name, worker.zone, cause)
        if verb == "on":
            self.counts["starts"] += 1
        task = worker.tasks.get(key)
        if task is None or not task.job.coscheduled:
            return
        index = int(key.task.partition("/")[2])
        if verb == "on":
            self.gang_events.append(GangEvent("ready", key.job_id, key.attempt, index))
        elif verb == "off" and cause != "done":
            self.gang_events.append(GangEvent("left", key.job_id, key.attempt, index))

    async def exchange_gangs(self) -> None:
        """Send the events of gangs' tasks to the hub and apply its orders, until cancelled."""
        while True:
            await asyncio.sleep(GANG_EXCHANGE_INTERVAL_S)
            events, self.gang_events = self.gang_events, []
            body = encode({"process": self.index, "events": [list(event) for event in events]})
            try:
                _, data = await self.hub.request(
                    self.plan.cloud, "POST", "/gangs", body, REQUEST_TIMEOUT_S, 4 * 1024 * 1024
                )
            except (RequestNotSentError, NoResponseError):
                self.gang_events = events + self.gang_events
                continue
            for fields in decode(data)["orders"]:
                self.apply_gang_order(GangOrder(*fields))

    def apply_gang_order(self, order: GangOrder) -> None:
        """Apply the hub's order for an attempt to all workers of this process."""
        for reporter in self.reporters.values():
            worker = reporter.worker
            for key in [
                key
                for key in worker.tasks
                if key.attempt == order.attempt and key.job_id == order.job_id
            ]:
                if order.verb == "go":
                    worker.start_gang_task(key)
                else:
                    worker.exit(key, "done" if order.verb == "finish" else "peers")
            if worker.dirty:
                reporter.report_soon()


def worker_address(net: int, port: int, number: int) -> str:
    """Return the address of a worker; each worker has its own loopback address."""
    address = f"127.{net}.{number // 250}.{number % 250 + 1}:{port}"
    settings.split_addr(address)
    return address


async def main(plan: Plan, stop_requested: asyncio.Event, index: int) -> None:
    """Run a process of hollow workers."""
    await HollowProcess(plan, index).run(stop_requested)
