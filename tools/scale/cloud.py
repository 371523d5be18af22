"""The cloud as a process: rents hollow machines, lists them late, lets racks and zones fail; also
the hub where gangs' tasks find each other.
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
from tools.scale.serving import answer, listen, write_summary

# Seconds for which a machine that died is listed as running (PROTOCOL: about 30 s).
LISTED_S = 30.0
# Seconds to wait for a process of hollow workers.
HOLLOW_S = 10.0
MOST_RENTED = 50
MOST_LISTED = 500
# Seconds of requests that may come at once.
BURST_S = 2.0


class Box:
    """A machine: where it is, and when it was rented, up, dead and gone (s)."""

    __slots__ = ("name", "zone", "process", "address", "rented", "up", "dead", "gone")

    def __init__(self, name: str, zone: str, process: int, address: str, now: float) -> None:
        self.name = name
        self.zone = zone
        self.process = process
        self.address = address
        self.rented = now
        self.up: float | None = None
        self.dead: float | None = None
        self.gone: float | None = None

    def status(self, at: float) -> str | None:
        """Return how the machine is listed as of a time; None if it is not."""
        if self.rented > at or (self.gone is not None and self.gone <= at):
            return None
        if self.dead is not None and self.dead + LISTED_S <= at:
            return "failed"
        return "running" if self.up is not None and self.up <= at else "booting"


class CloudClient:
    """All machines."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.config: RunConfig = plan.config
        self.loop = asyncio.get_running_loop()
        self.rng = random.Random(plan.config.seed)
        self.boxes: dict[str, Box] = {}
        self.hires: dict[str, list[str]] = {}
        self.numbers = [0] * len(plan.hollow)
        self.requests = TokenBucket(self.config.service.cloud_rps, BURST_S)
        self.counts: Counter[str] = Counter()
        self.client = Client(4 * len(plan.hollow))
        self.hub = GangHub(len(plan.hollow))
        self.tasks: set[asyncio.Task] = set()

    async def run(self, ended: asyncio.Event) -> None:
        """Serve until told to end."""
        await listen(self.plan.cloud, self.serve, self.counts)
        await ended.wait()
        write_summary(
            self.plan.folder, "cloud", {"counts": self.counts, "rented": len(self.boxes)}
        )

    def alive(self) -> list[Box]:
        """Return the machines that are neither dead nor gone."""
        return [box for box in self.boxes.values() if box.gone is None and box.dead is None]

    def serve(self, request: Request) -> None:
        """Serve one request."""
        parts = urlsplit(request.path)
        if parts.path == "/gangs":
            self._gangs(request)
            return
        if parts.path == "/control":
            self.spawn(self._control(request))
            return
        self.counts[f"{request.method} {parts.path}"] += 1
        if self.requests.wait(self.loop.time(), 1) > 0:
            answer(request, 429, {"error": "too many requests"})
            return
        self.requests.consume(1)
        if parts.path == PATH_CATALOGUE:
            answer(request, 200, {"flavours": [self.flavour()]})
        elif parts.path == PATH_RETURN:
            self.spawn(self._return(request))
        elif parts.path == PATH_INSTANCES and request.method == "POST":
            self._rent(request)
        elif parts.path == PATH_INSTANCES:
            query = {name: row[0] for name, row in parse_qs(parts.query).items()}
            self._list(request, query.get("since", ""), int(query.get("page", MOST_LISTED)))
        else:
            answer(request, 400, {"error": "path"})

    def spawn(self, work: Any) -> None:
        """Run something in the background."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def flavour(self) -> dict[str, Any]:
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
        known = self.hires.get(order["hire"])
        if known is None:
            room = self.config.sizes.workers - len(self.alive())
            count = min(int(order["count"]), MOST_RENTED, room)
            if count <= 0:
                answer(request, 503, {"error": "no capacity"})
                return
            known = self.hires[order["hire"]] = [
                self._make(order["site"]).name for _ in range(count)
            ]
        answer(request, 200, {"boxes": known})

    def _make(self, zone: str) -> Box:
        process = len(self.boxes) % len(self.plan.hollow)
        number = self.numbers[process]
        self.numbers[process] += 1
        name = f"n-{len(self.boxes):06}"
        address = worker_address(WORKER_NET + process, self.plan.worker_ports[process], number)
        box = self.boxes[name] = Box(name, zone, process, address, self.loop.time())
        self.loop.call_later(
            self.config.machines.boot_s * self.rng.uniform(0.6, 1.5),
            lambda: self.spawn(self._boot(box)),
        )
        return box

    async def _boot(self, box: Box) -> None:
        if box.gone is None:
            box.up = self.loop.time()
            await self._tell(box.process, {"add": [[box.name, box.address, box.zone]]})
            if box.gone is not None:  # returned while it came up
                await self._tell(box.process, {"remove": [box.name]})

    async def _tell(self, process: int, order: dict[str, Any]) -> None:
        try:
            await self.client.request(
                self.plan.hollow[process], "POST", "/machines", encode(order), HOLLOW_S
            )
        except (RequestNotSentError, NoResponseError) as error:
            self.counts[f"hollow process {process}: {error}"] += 1

    async def _remove(self, boxes: list[Box]) -> None:
        """Take machines away."""
        by_process: dict[int, list[str]] = {}
        for box in boxes:
            by_process.setdefault(box.process, []).append(box.name)
        await asyncio.gather(
            *(self._tell(process, {"remove": names}) for process, names in by_process.items())
        )

    async def _return(self, request: Request) -> None:
        names = decode(request.body)["boxes"]
        boxes = [self.boxes[name] for name in names if name in self.boxes]
        now = self.loop.time()
        for box in boxes:
            box.gone = now if box.gone is None else box.gone
        await self._remove(boxes)
        answer(request, 200, {})

    def _list(self, request: Request, since: str, most: int) -> None:
        at = self.loop.time() - self.config.service.list_lag_s
        rows: list[dict[str, Any]] = []
        more = False
        for name, box in self.boxes.items():  # in the order of their names
            status = box.status(at) if name > since else None
            if status is None:
                continue
            if len(rows) >= min(most, MOST_LISTED):
                more = True
                break
            rows.append(
                {
                    "id": name,
                    "addr": box.address,
                    "flavour": "hollow",
                    "site": box.zone,
                    "loaner": False,
                    "status": status,
                    "held_s": at - box.rented,
                }
            )
        answer(request, 200, {"boxes": rows, "has_next": more})

    def _gangs(self, request: Request) -> None:
        order = decode(request.body)
        events = [GangEvent(*row) for row in order["events"]]
        orders = self.hub.take(order["process"], events, self.loop.time())
        answer(request, 200, {"orders": [list(row) for row in orders]})

    async def _control(self, request: Request) -> None:
        """Let machines die: some of one zone, all of one, or some anywhere."""
        order = decode(request.body)
        boxes = self.alive()
        if order["kind"] in ("rack", "zone"):
            boxes = [box for box in boxes if box.zone == zone_name(order["index"])]
        if order["kind"] != "zone":
            boxes = self.rng.sample(boxes, min(len(boxes), order["count"]))
        now = self.loop.time()
        for box in boxes:
            box.dead = now
        await self._remove(boxes)
        self.counts["died"] += len(boxes)
        answer(request, 200, {"died": len(boxes)})


async def main(plan: Plan, ended: asyncio.Event) -> None:
    """Run the cloud."""
    await CloudClient(plan).run(ended)
