"""The simulated cloud: rents hollow machines, lists them late and makes racks and zones fail.

The process also hosts the hub through which the tasks of a gang start and end together.
"""

import asyncio
import random
from collections import Counter
from typing import Any
from urllib.parse import parse_qs, urlsplit

from oakmux.codec.cbor import decode, encode
from oakmux.codec.cloud import PATH_CATALOGUE, PATH_INSTANCES, PATH_RETURN
from oakmux.transport.http_client import Client, NoResponseError, RequestNotSentError
from oakmux.transport.http_server import Request
from oakmux.transport.rate_limit import TokenBucket
from tools.scale.config import RunConfig
from tools.scale.gangs import GangEvent, GangHub
from tools.scale.hollow import worker_address
from tools.scale.jobs import zone_name
from tools.scale.plan import WORKER_NET, Plan
from tools.scale.serving import listen, send_response, write_summary

# Seconds for which a dead machine is still listed as running, as in the real cloud (about 30 s).
FAILURE_LISTING_DELAY_S = 30.0
# Seconds to wait for an answer of a process of hollow workers.
HOLLOW_TIMEOUT_S = 10.0
# Machines per rent request and per page of a list.
MAX_RENTED = 50
MAX_LISTED = 500
# Burst of the request limit, in seconds of its rate.
BURST_S = 2.0


class Machine:
    """A machine: its location, and when it was rented, came up, died and was returned (s)."""

    __slots__ = (
        "name",
        "zone",
        "process",
        "address",
        "rented_at",
        "up_at",
        "dead_at",
        "returned_at",
    )

    def __init__(self, name: str, zone: str, process: int, address: str, now: float) -> None:
        self.name = name
        self.zone = zone
        self.process = process
        self.address = address
        self.rented_at = now
        self.up_at: float | None = None
        self.dead_at: float | None = None
        self.returned_at: float | None = None

    def status(self, at: float) -> str | None:
        """Return the status that a list as of a time shows; None if it omits the machine."""
        if self.rented_at > at or (self.returned_at is not None and self.returned_at <= at):
            return None
        if self.dead_at is not None and self.dead_at + FAILURE_LISTING_DELAY_S <= at:
            return "failed"
        return "running" if self.up_at is not None and self.up_at <= at else "booting"


class CloudService:
    """The cloud's machines and its HTTP endpoints."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.config: RunConfig = plan.config
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(plan.config.seed)
        self.machines: dict[str, Machine] = {}
        self.rentals: dict[str, list[str]] = {}
        self.machine_counts = [0] * len(plan.hollow)
        self.request_limit = TokenBucket(self.config.service.cloud_rps, BURST_S)
        self.counts: Counter[str] = Counter()
        self.client = Client(4 * len(plan.hollow))
        self.hub = GangHub(len(plan.hollow))
        self.tasks: set[asyncio.Task] = set()

    async def run(self, stop_requested: asyncio.Event) -> None:
        """Serve until the stop is requested, then write the summary."""
        await listen(self.plan.cloud, self.serve, self.counts)
        await stop_requested.wait()
        write_summary(
            self.plan.folder, "cloud", {"counts": self.counts, "rented": len(self.machines)}
        )

    def alive(self) -> list[Machine]:
        """Return the machines that are neither dead nor returned."""
        return [
            machine
            for machine in self.machines.values()
            if machine.returned_at is None and machine.dead_at is None
        ]

    def serve(self, request: Request) -> None:
        """Serve one request; `/gangs` and `/control` don't count against the request limit."""
        parts = urlsplit(request.path)
        if parts.path == "/gangs":
            self._gangs(request)
            return
        if parts.path == "/control":
            self.spawn(self._control(request))
            return
        self.counts[f"{request.method} {parts.path}"] += 1
        if self.request_limit.wait(self.loop.time(), 1) > 0:
            send_response(request, 429, {"error": "too many requests"})
            return
        self.request_limit.consume(1)
        if parts.path == PATH_CATALOGUE:
            send_response(request, 200, {"flavours": [self.machine_type()]})
        elif parts.path == PATH_RETURN:
            self.spawn(self._return(request))
        elif parts.path == PATH_INSTANCES and request.method == "POST":
            self._rent(request)
        elif parts.path == PATH_INSTANCES:
            query = {name: values[0] for name, values in parse_qs(parts.query).items()}
            self._list(request, query.get("since", ""), int(query.get("page", MAX_LISTED)))
        else:
            send_response(request, 400, {"error": "path"})

    def spawn(self, work: Any) -> None:
        """Run a coroutine in the background."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def machine_type(self) -> dict[str, Any]:
        """Return the only machine type."""
        return {
            "sku": "hollow",
            "vcpus": self.config.machines.cpus,
            "accelerators": 0,
            "memory_gb": 1024,
            "local_gb": 200,
            "pull_gb_per_s": 1.0 / max(0.1, self.config.traffic.slow_fetch_s),
            "hourly": 1.0,
            "low_price": 0.5,
            "boot_s": self.config.machines.boot_s,
            "sites": [zone_name(number) for number in range(self.config.sizes.zones)],
        }

    def _rent(self, request: Request) -> None:
        order = decode(request.body)
        names = self.rentals.get(order["hire"])
        if names is None:
            free_machines = self.config.sizes.workers - len(self.alive())
            count = min(int(order["count"]), MAX_RENTED, free_machines)
            if count <= 0:
                send_response(request, 503, {"error": "no capacity"})
                return
            names = self.rentals[order["hire"]] = [
                self._create_machine(order["site"]).name for _ in range(count)
            ]
        send_response(request, 200, {"boxes": names})

    def _create_machine(self, zone: str) -> Machine:
        process = len(self.machines) % len(self.plan.hollow)
        number = self.machine_counts[process]
        self.machine_counts[process] += 1
        name = f"n-{len(self.machines):06}"
        address = worker_address(WORKER_NET + process, self.plan.worker_ports[process], number)
        machine = self.machines[name] = Machine(name, zone, process, address, self.loop.time())
        self.loop.call_later(
            self.config.machines.boot_s * self.rng.uniform(0.6, 1.5),
            lambda: self.spawn(self._boot(machine)),
        )
        return machine

    async def _boot(self, machine: Machine) -> None:
        if machine.returned_at is None:
            machine.up_at = self.loop.time()
            await self._send_order(
                machine.process, {"add": [[machine.name, machine.address, machine.zone]]}
            )
            if machine.returned_at is not None:  # returned during the boot
                await self._send_order(machine.process, {"remove": [machine.name]})

    async def _send_order(self, process: int, order: dict[str, Any]) -> None:
        try:
            await self.client.request(
                self.plan.hollow[process], "POST", "/machines", encode(order), HOLLOW_TIMEOUT_S
            )
        except (RequestNotSentError, NoResponseError) as error:
            self.counts[f"hollow process {process}: {error}"] += 1

    async def _remove(self, machines: list[Machine]) -> None:
        """Remove machines from their processes of hollow workers."""
        by_process: dict[int, list[str]] = {}
        for machine in machines:
            by_process.setdefault(machine.process, []).append(machine.name)
        await asyncio.gather(
            *(
                self._send_order(process, {"remove": names})
                for process, names in by_process.items()
            )
        )

    async def _return(self, request: Request) -> None:
        names = decode(request.body)["boxes"]
        machines = [self.machines[name] for name in names if name in self.machines]
        now = self.loop.time()
        for machine in machines:
            machine.returned_at = now if machine.returned_at is None else machine.returned_at
        await self._remove(machines)
        send_response(request, 200, {})

    def _list(self, request: Request, since: str, limit: int) -> None:
        at = self.loop.time() - self.config.service.list_lag_s
        entries: list[dict[str, Any]] = []
        has_next = False
        for name, machine in self.machines.items():  # insertion order is name order
            status = machine.status(at) if name > since else None
            if status is None:
                continue
            if len(entries) >= min(limit, MAX_LISTED):
                has_next = True
                break
            entries.append(
                {
                    "id": name,
                    "addr": machine.address,
                    "flavour": "hollow",
                    "site": machine.zone,
                    "loaner": False,
                    "status": status,
                    "held_s": at - machine.rented_at,
                }
            )
        send_response(request, 200, {"boxes": entries, "has_next": has_next})

    def _gangs(self, request: Request) -> None:
        order = decode(request.body)
        events = [GangEvent(*fields) for fields in order["events"]]
        orders = self.hub.exchange(order["process"], events, self.loop.time())
        send_response(request, 200, {"orders": [list(gang_order) for gang_order in orders]})

    async def _control(self, request: Request) -> None:
        """Kill machines: all of a zone (`zone`), `count` of a zone (`rack`) or of any zone."""
        order = decode(request.body)
        machines = self.alive()
        if order["kind"] in ("rack", "zone"):
            machines = [
                machine for machine in machines if machine.zone == zone_name(order["index"])
            ]
        if order["kind"] != "zone":
            machines = self.rng.sample(machines, min(len(machines), order["count"]))
        now = self.loop.time()
        for machine in machines:
            machine.dead_at = now
        await self._remove(machines)
        self.counts["died"] += len(machines)
        send_response(request, 200, {"died": len(machines)})


async def main(plan: Plan, stop_requested: asyncio.Event) -> None:
    """Run the simulated cloud."""
    await CloudService(plan).run(stop_requested)
