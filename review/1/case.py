"""A task fails once on a faulty machine; later the machine is sound, and the task never starts."""

import asyncio
from pathlib import Path

from standins.cluster import Deployment
from standins.main import CannotRunError, run, trouble, wait_for
from standins.rule import WaitingRule
from standins.users import job

FAULTY_S = 2.0
"""For so long the machine fails every task that it starts."""


async def play(deployment: Deployment) -> bool:
    """Fill one machine with a service; let an array's task fail once on the other."""
    users, cloud, record = deployment.users, deployment.cloud, deployment.record
    users.poll_forever("job-000002")
    service = job(
        "job-000001",
        "arsip-team-00",
        lane="face-tagger",
        shape="daemon",
        rank="production",
        pieces=2,
        vcpus=4.0,
        memory_gb=14.0,
        bundle="face-tagger-1",
        size_gb=0.05,
        guess_s=0.0,
    )
    if await users.submit(service, None, 20.0) != 201:
        raise CannotRunError("the service was not accepted")
    await wait_for(lambda: sum(map(len, cloud.where.values())) == 2, 30.0, "both replicas run")
    full = {name for there in cloud.where.values() for name, _ in there}
    if len(full) != 1:
        raise CannotRunError(f"the replicas do not fill one machine: {full}")
    cloud.new_ones_are_faulty = trouble()
    if await users.submit(job("job-000002", "arsip-team-01", size_gb=0.05), 5.0, 20.0) != 201:
        raise CannotRunError("the array was not accepted")
    await wait_for(lambda: cloud.starts.get("job-000002/0"), 20.0, "the array's task starts")
    await asyncio.sleep(FAULTY_S)
    cloud.new_ones_are_faulty = False
    cloud.faulty.clear()
    record.line("trouble over: all machines are sound")
    rule = WaitingRule(deployment, "job-000002")
    return await rule.watch(record.now + 95.0)


if __name__ == "__main__":
    run(Path(__file__).parent, play)
