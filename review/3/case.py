"""A job that fits is never started, since a slightly larger one of its kind waits before it."""

import asyncio
from pathlib import Path

from standins.cluster import Deployment
from standins.main import CannotRunError, run, trouble, wait_for
from standins.rule import WaitingRule
from standins.users import job


async def play(deployment: Deployment) -> bool:
    """Fill most of the only machine; submit a job that does not fit, then one that does."""
    users, cloud, record = deployment.users, deployment.cloud, deployment.record
    users.poll_forever("job-000003")
    service = job(
        "job-000001",
        "arsip-team-00",
        lane="face-tagger",
        shape="daemon",
        rank="production",
        vcpus=7.0,
        memory_gb=14.0,
        bundle="face-tagger-1",
        guess_s=0.0,
    )
    if await users.submit(service, None, 20.0) != 201:
        raise CannotRunError("the service was not accepted")
    await wait_for(lambda: cloud.where.get("job-000001/0"), 20.0, "the service runs")
    if trouble():
        larger = job("job-000002", "arsip-team-01", vcpus=5.2)
        if await users.submit(larger, 5.0, 20.0) != 201:
            raise CannotRunError("the larger job was not accepted")
        await asyncio.sleep(2.0)
    if await users.submit(job("job-000003", "arsip-team-01", vcpus=4.9), 5.0, 20.0) != 201:
        raise CannotRunError("the smaller job was not accepted")
    rule = WaitingRule(deployment, "job-000003")
    return await rule.watch(record.now + 95.0)


if __name__ == "__main__":
    run(Path(__file__).parent, play, capacity=1)
