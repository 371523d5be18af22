"""Renting and returning machines as needed."""

import pytest

from oakmux import constants
from oakmux.core.autoscaling.instance_inventory import FailedBoot
from oakmux.core.instances import InstanceKind
from oakmux.core.leadership.roles import FLEET
from tests.fakes import Simulation, spec
from tests.helpers.clusters import idle_cluster


def test_idle_machines_are_returned():
    sim = idle_cluster()
    sim.submit("job-1", spec("array", 8))
    sim.run(30)
    assert any(not w.dead for w in sim.workers.values())
    sim.run(150)
    assert all(w.dead for w in sim.workers.values())


def test_services_are_consolidated_so_that_machines_can_be_returned():
    sim = idle_cluster()
    sim.submit("job-1", spec("array", 8, estimate_s=120.0))  # keeps two machines full
    sim.submit("job-2", spec("array", 6, "blue", estimate_s=30.0))
    sim.run(15)
    for number in range(3, 6):
        sim.submit(f"job-{number}", spec("service", 1, "blue"))
    sim.run(300)
    assert sum(1 for _, task, _ in sim.running_tasks() if task.endswith("/0")) == 3
    assert len([w for w in sim.workers.values() if not w.dead]) == 1


@pytest.mark.parametrize("boot_s", [0.05, 14.0, None])
def test_all_jobs_run_whether_machines_boot_at_once_late_or_never(boot_s):
    sim = Simulation(4)
    sim.run(5)
    sim.boot_s = lambda: boot_s
    sim.submit("job-1", spec("array", 8, "blue", estimate_s=5.0))
    for _ in range(20):
        sim.run(1)  # late machines are replaced, but not all are rented twice
        assert sum(not w.dead for w in sim.workers.values()) <= 4
    assert boot_s is not None or len(sim.workers) > 4
    sim.boot_s = lambda: 2.0
    assert sim.unfinished_jobs(60) == set()
    sim.run(60)
    assert all(w.dead for w in sim.workers.values())  # no machine is paid for forever


def test_a_zone_whose_machines_fail_to_boot_is_avoided_for_a_while():
    sim = Simulation(6)
    sim.capacity = 40
    sim.run(5)
    core = next(core for core in sim.cores.values() if FLEET in core.context.held_roles)
    scale_out = core.autoscaler.scale_out
    failing_kind = InstanceKind("big", "a", True)
    core.autoscaler.inventory.failed_boots = [
        FailedBoot(sim.now, failing_kind)
    ] * constants.BOOT_TROUBLE_COUNT
    sim.submit("job-1", spec("array", 9, "blue", spot=True, cpus=8.0, gpus=0.0))
    sim.run(8)
    assert failing_kind in scale_out.expected.unreliable_kinds
    assert len(sim.workers) >= 9
    assert not any(w.zone == "a" and w.spot for w in sim.workers.values())
    sim.run(constants.BOOT_TROUBLE_S)
    assert failing_kind not in scale_out.expected.unreliable_kinds
