"""The users: submissions and polls at the controllers."""

import asyncio
from typing import Any

from standins.machines import Cloud
from standins.record import Record
from standins.wire import Client


def job(job_id: str, owner: str, **fields: Any) -> dict[str, Any]:
    """Return a submission; `fields` replace those of a plain array."""
    return {
        "id": job_id,
        "lane": "photo-retouch",
        "owner": owner,
        "shape": "array",
        "rank": "standard",
        "pieces": 1,
        "vcpus": 5.0,
        "accelerators": 1.0,
        "memory_gb": 18.0,
        "bundle": "photo-retouch-1",
        "size_gb": 0.3,
        "flavours": None,
        "site": None,
        "together": False,
        "spread": False,
        "loaner": False,
        "guess_s": 10.0,
        "save_every_s": 0.0,
        "save_cost_s": 0.0,
        "due_s": None,
        **fields,
    }


class Users:
    """Users behind a load balancer that tries up to three nodes for each new connection."""

    def __init__(self, record: Record, cloud: Cloud, nodes: list[tuple[str, int]]) -> None:
        self.record = record
        self.cloud = cloud
        self.nodes = nodes
        self.turn = 0
        self.accepted: dict[str, float] = {}
        self.pollers: set[asyncio.Task[None]] = set()

    def poll_forever(self, job_id: str) -> None:
        """Poll a job every 5 s from its acceptance until it is done or cancelled."""
        task = asyncio.create_task(self._poll_forever(job_id))
        self.pollers.add(task)

    async def _poll_forever(self, job_id: str) -> None:
        state = None
        while state not in ("done", "aborted"):
            await asyncio.sleep(5.0)
            if job_id in self.accepted:
                state = await self.poll(job_id)

    async def ask(
        self, method: str, path: str, body: Any = None, timeout: float = 2.0
    ) -> tuple[int, Any]:
        """Send one request on a new connection; return (status, body)."""
        client = Client()
        status, answer = -1, None
        for _ in self.nodes:
            self.turn += 1
            _, port = self.nodes[self.turn % len(self.nodes)]
            status, answer = await client.request(port, method, path, body, timeout)
            if status != -1:
                break
        client.close()
        self.record.line(f"user: {method} {path} -> {status} {answer}")
        return status, answer

    async def submit(self, job: dict[str, Any], run_s: float | None, for_s: float = 60.0) -> int:
        """Upload a job's description and submit it until it is answered; return the status."""
        self.cloud.jobs[job["id"]] = job
        self.cloud.run_s[job["id"]] = run_s
        until = self.record.now + for_s
        status = 0
        self.record.line(f"user: submits {job}")
        while self.record.now < until:
            status, _ = await self.ask("POST", "/api/jobs", job, 5.0)
            if status in (200, 201, 400, 422):
                break
            await asyncio.sleep(1.0)
        if status in (200, 201):
            self.accepted[job["id"]] = self.record.now
        return status

    async def poll(self, job_id: str) -> str | None:
        """Ask for a job; return its state, or None without an answer."""
        status, body = await self.ask("GET", f"/api/jobs/{job_id}")
        return body["status"] if status == 200 else None
