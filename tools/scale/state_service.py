"""The simulated state service: the store over HTTP, with one address for each controller."""

import asyncio
from collections import Counter
from functools import partial
from urllib.parse import parse_qs, unquote, urlsplit

from oakmux.codec.cbor import MalformedError, decode
from oakmux.codec.store import PATH_ITEMS, PATH_LEASES, PATH_TRANSACTIONS, PATH_WATCH
from oakmux.transport.http_server import Request
from tools.scale.plan import Plan
from tools.scale.serving import listen, send_response, write_summary
from tools.scale.store import Refused, Store, watch_body

# Seconds between two checks for expired leases; the real service expires them up to 100 ms late.
EXPIRY_INTERVAL_S = 0.05


class Watch:
    """A long poll for changes under a prefix after a revision."""

    __slots__ = ("request", "prefix", "after_revision", "deadline")

    def __init__(
        self, request: Request, prefix: str, after_revision: int, deadline: float
    ) -> None:
        self.request = request
        self.prefix = prefix
        self.after_revision = after_revision
        self.deadline = deadline


class StateService:
    """Serves the store; faults are injected over the control address."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.loop = asyncio.get_running_loop()
        self.store = Store(plan.config.service)
        self.counts = {controller.label: Counter[str]() for controller in plan.controllers}
        self.watches: dict[str, list[Watch]] = {label: [] for label in self.counts}
        self.outage_until = 0.0
        self.refused_until: dict[str, float] = {}
        self.slow_until = 0.0
        self.delay_s = 0.0

    async def run(self, stop_requested: asyncio.Event) -> None:
        """Serve until the stop is requested, then write the summary."""
        for controller in self.plan.controllers:
            await listen(
                controller.state,
                partial(self.serve, controller.label),
                self.counts[controller.label],
            )
        await listen(self.plan.state_control, self.control, Counter())
        while not stop_requested.is_set():
            await asyncio.sleep(EXPIRY_INTERVAL_S)
            self.expire_and_notify()
        write_summary(
            self.plan.folder,
            "state",
            {
                "store": dict(self.store.counts),
                "largest_value": self.store.largest_value,
                "keys": len(self.store.records),
                "controllers": {k: dict(v) for k, v in self.counts.items()},
            },
        )

    def control(self, request: Request) -> None:
        """Start an injected fault."""
        order = decode(request.body)
        now = self.loop.time()
        if order["kind"] == "state_out":
            self.outage_until = now + order["for_s"]
        elif order["kind"] == "state_refuse":
            self.refused_until[self.plan.controllers[order["index"]].label] = now + order["for_s"]
        elif order["kind"] == "state_slow":
            self.delay_s, self.slow_until = order["delay_s"], now + order["for_s"]
        send_response(request, 200, {})

    def expire_and_notify(self) -> None:
        """End an outage that is over, expire leases and answer watches."""
        now = self.loop.time()
        if self.outage_until:
            if now < self.outage_until:
                return
            self.outage_until = 0.0
            self.store.restore_leases(now)
        self.store.expire(now)
        self.notify_watches(now)

    def unreachable(self, label: str, now: float) -> bool:
        """Whether requests of a controller get status 503 now."""
        return now < self.outage_until or now < self.refused_until.get(label, 0.0)

    def notify_watches(self, now: float) -> None:
        """Answer the watches that have changes or whose deadline has passed."""
        for label, watches in self.watches.items():
            if not watches or self.unreachable(label, now):
                continue
            self.watches[label] = [
                watch for watch in watches if not self._answer_watch(watch, now)
            ]

    def _answer_watch(self, watch: Watch, now: float) -> bool:
        if watch.after_revision == self.store.revision and now < watch.deadline:
            return False
        events = self.store.events_since(watch.prefix, watch.after_revision)
        if events is None:
            send_response(watch.request, 410, {})
        elif events or now >= watch.deadline:
            watch.request.respond(200, watch_body(self.store.revision, events))
        else:
            watch.after_revision = self.store.revision
            return False
        return True

    def serve(self, label: str, request: Request) -> None:
        """Serve a controller's request; delay it while the service is slow."""
        now = self.loop.time()
        if now < self.slow_until:
            self.loop.call_later(self.delay_s, self._serve, label, request)
        else:
            self._serve(label, request)

    def _serve(self, label: str, request: Request) -> None:
        now = self.loop.time()
        if self.unreachable(label, now):
            send_response(request, 503, {"error": "trouble"})
            return
        try:
            self.store.admit(now)
            self._route(label, request, now)
        except Refused as refusal:
            send_response(request, refusal.status, refusal.body)
        except (KeyError, TypeError, ValueError, MalformedError) as error:
            send_response(request, 400, {"error": repr(error)})

    def _route(self, label: str, request: Request, now: float) -> None:
        parts = urlsplit(request.path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        path, method = parts.path, request.method
        if path == PATH_TRANSACTIONS and method == "POST":
            body = decode(request.body)
            revision = self.store.transact(now, body.get("guards") or [], body.get("writes") or [])
            send_response(request, 200, {"epoch": revision})
            if body.get("writes"):
                self.notify_watches(now)
        elif path == PATH_WATCH and method == "GET":
            deadline = now + min(60.0, int(query.get("block_ms", 0)) / 1000)
            watch = Watch(request, query["prefix"], int(query["since"]), deadline)
            if not self._answer_watch(watch, now):
                self.watches[label].append(watch)
        elif path == PATH_ITEMS and method == "GET":
            send_response(
                request,
                200,
                self.store.page(
                    query["prefix"], query.get("since", ""), int(query.get("page", 1000))
                ),
            )
        elif path.startswith(PATH_ITEMS + "/") and method == "GET":
            send_response(request, 200, self.store.get(unquote(path[len(PATH_ITEMS) + 1 :])))
        elif path.startswith(PATH_LEASES):
            self._lease(request, path, method, now)
        else:
            raise Refused(400, {"error": "path"})

    def _lease(self, request: Request, path: str, method: str, now: float) -> None:
        suffix = path[len(PATH_LEASES) :].strip("/")
        if not suffix:
            lease = self.store.grant(now, int(decode(request.body)["life_ms"]))
            send_response(request, 200, {"permit": lease})
        elif suffix.endswith("/renew"):
            self.store.renew(now, int(suffix.removesuffix("/renew")))
            send_response(request, 200, {})
        elif method == "DELETE":
            self.store.drop_lease(int(suffix))
            send_response(request, 200, {})
        else:
            raise Refused(400, {"error": "path"})


async def main(plan: Plan, stop_requested: asyncio.Event) -> None:
    """Run the simulated state service."""
    await StateService(plan).run(stop_requested)
