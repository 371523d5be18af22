"""A replica fails on three machines in turn; later all are sound, and it never starts again."""

from pathlib import Path

from standins.cluster import Deployment
from standins.main import CannotRunError, run, trouble, wait_for
from standins.rule import WaitingRule
from standins.users import job

MACHINES = 4
FAILURES = 3


async def play(deployment: Deployment) -> bool:
    """Leave four machines idle behind a short array; then start a service of two replicas."""
    users, cloud, record = deployment.users, deployment.cloud, deployment.record
    users.poll_forever("job-000002")
    array = job("job-000001", "arsip-team-01", pieces=MACHINES, vcpus=8.0, accelerators=2.0)
    if await users.submit(array, 1.0, 20.0) != 201:
        raise CannotRunError("the array was not accepted")
    await wait_for(lambda: len(cloud.task_done) == MACHINES, 30.0, "the array is done")
    cloud.fails_after_s = 0.5
    cloud.unlucky_task = "job-000002/0"
    cloud.unlucky_starts = FAILURES if trouble() else 0
    service = job(
        "job-000002",
        "arsip-team-00",
        lane="face-tagger",
        shape="daemon",
        rank="production",
        pieces=2,
        vcpus=8.0,
        accelerators=2.0,
        memory_gb=28.0,
        bundle="face-tagger-1",
        size_gb=0.02,
        guess_s=0.0,
    )
    if await users.submit(service, None, 20.0) != 201:
        raise CannotRunError("the service was not accepted")
    if trouble():
        await wait_for(lambda: not cloud.unlucky_starts, 20.0, "the last faulty machine")
        await wait_for(lambda: not cloud.faulty, 5.0, "the last failure")
    rule = WaitingRule(deployment, "job-000002")
    return await rule.watch(record.now + 92.0)


if __name__ == "__main__":
    run(Path(__file__).parent, play)
