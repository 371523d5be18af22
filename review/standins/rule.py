"""The rule that no job is left waiting while a machine that fits has room."""

import asyncio

from standins.cluster import GPU_LIMIT, Deployment
from standins.machines import ACTIVE, Machine

RESOURCES = ("vcpus", "accelerators", "memory_gb")

WAITING_LIMIT_S = 90.0
"""From the pages: no job is left waiting for 90 s."""


class WaitingRule:
    """Measures for how long a job waits while a machine has room for it."""

    def __init__(self, deployment: Deployment, job_id: str) -> None:
        self.cloud = deployment.cloud
        self.record = deployment.record
        self.job = self.cloud.jobs[job_id]
        self.since: float | None = None
        self.longest = 0.0
        self.why = ""

    def waiting_tasks(self) -> list[str]:
        """Return the job's tasks that are neither done nor on a machine nor fetching an image."""
        cloud = self.cloud
        started = {
            key[0]
            for machine in cloud.machines.values()
            for key, task in machine.tasks.items()
            if task.status in ACTIVE
        }
        names = [f"{self.job['id']}/{index}" for index in range(self.job["pieces"])]
        return [name for name in names if name not in started and name not in cloud.task_done]

    def free(self, machine: Machine) -> dict[str, float]:
        """Return what is free on a machine."""
        left = {name: self.cloud.types[machine.kind["flavour"]][name] for name in RESOURCES}
        for key, task in machine.tasks.items():
            if task.status in ACTIVE:
                for name in RESOURCES:
                    left[name] -= self.cloud.jobs[key[0].partition("/")[0]][name]
        return left

    def machine_with_room(self) -> Machine | None:
        """Return a machine that is up, answered, allowed and large enough for a task."""
        for machine in self.cloud.machines.values():
            if machine.gone or not machine.up or not machine.lease_running():
                continue
            if machine.kind["loaner"] and not self.job["loaner"]:
                continue
            free = self.free(machine)
            if all(self.job[name] <= free[name] for name in RESOURCES):
                return machine
        return None

    def under_limit(self) -> bool:
        """Whether the team may use one task's GPUs more."""
        used = sum(
            self.cloud.jobs[key[0].partition("/")[0]]["accelerators"]
            for machine in self.cloud.machines.values()
            for key, task in machine.tasks.items()
            if task.status in ACTIVE
            and self.cloud.jobs[key[0].partition("/")[0]]["owner"] == self.job["owner"]
        )
        return bool(used + self.job["accelerators"] <= GPU_LIMIT)

    def look(self) -> None:
        """Look once; the clock starts anew whenever the rule's excuse holds for a moment."""
        waiting = self.waiting_tasks()
        machine = self.machine_with_room() if waiting and self.under_limit() else None
        if machine is None:
            if self.since is not None:
                self.record.line(f"rule: {self.job['id']} no longer waits beside room")
            self.since = None
            return
        if self.since is None:
            self.since = self.record.now
            self.record.line(f"rule: {waiting} wait, {machine.name} has room {self.free(machine)}")
        self.longest = max(self.longest, self.record.now - self.since)
        self.why = f"{waiting} waited for {self.longest:.0f} s while {machine.name} had room"

    async def watch(self, until: float) -> bool:
        """Look until a time (s); return whether the rule was broken."""
        while self.record.now < until and self.longest <= WAITING_LIMIT_S:
            self.look()
            if not self.waiting_tasks():
                break
            await asyncio.sleep(0.25)
        broken = self.longest > WAITING_LIMIT_S
        if broken:
            self.record.line(f"RULE BROKEN: {self.why}")
        else:
            self.record.line(f"rule held: longest wait beside room {self.longest:.1f} s")
        return broken
