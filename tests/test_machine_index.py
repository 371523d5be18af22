"""The machine index compared with a full scan of all machines, over generated histories."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from oakmux.core.agents.capacity import free_resources, heartbeat_timeout_s, is_schedulable
from oakmux.core.agents.heartbeats import apply_heartbeat
from oakmux.core.context import Context
from oakmux.core.model import Heartbeat
from oakmux.core.resources import Resources, fits_resources, task_capacity
from oakmux.core.scheduling.machine_index import MachineIndex, capacity_class, may_fit
from oakmux.core.state.codecs import encode_job
from oakmux.core.state.keys import block_key, job_key
from tests.fakes import TYPE, ZONES, settings_for, spec

# The same examples in every run; nothing is stored between runs.
settings.register_profile("same", derandomize=True, database=None, deadline=None)
settings.load_profile("same")

NAMES = [f"m{number}" for number in range(8)]
JOBS = {
    "job-0": spec("array", 8, "red", cpus=3.0, image="x", priority=0),
    "job-1": spec("array", 8, "blue", gpus=2.0, image="y", priority=1),
    "job-2": spec("service", 4, "red", image="z"),
    "job-3": spec("array", 8, "blue", gpus=0.0, cpus=1.0, memory_gb=30.0, image="x", spot=True),
}

heartbeat = st.tuples(
    st.just("heartbeat"),
    st.sampled_from(NAMES),
    st.sets(
        st.tuples(
            st.sampled_from(sorted(JOBS)),
            st.integers(0, 3),
            st.sampled_from(["running", "fetching", "exited"]),
        ),
        max_size=3,
    ),
    st.booleans(),
)
event = st.one_of(
    heartbeat,
    st.tuples(
        st.just("bind"), st.sampled_from(sorted(JOBS)), st.integers(0, 3), st.sampled_from(NAMES)
    ),
    st.tuples(st.just("unbind"), st.sampled_from(sorted(JOBS))),
    st.tuples(st.sampled_from(["drain", "undrain", "vanish"]), st.sampled_from(NAMES)),
    st.tuples(st.just("wait"), st.floats(0.1, 9.0)),
)


class IndexedFleet:
    """Machines and jobs of one controller, and the index under test."""

    def __init__(self) -> None:
        self.context = Context(settings_for("h0"), random.Random(1), 0)
        self.context.types = {TYPE.name: TYPE}
        self.context.types_changed()
        self.index = MachineIndex(self.context)
        self.mod_revision = 0
        self.sequence = 0
        for job_id, job in JOBS.items():
            self.write(job_key(job_id), encode_job("queued", job.team, job, 0, job.tasks))

    def write(self, key, value):
        self.mod_revision += 1
        self.context.replica.apply(key, value, self.mod_revision)

    def heartbeat(self, name, tasks, notice):
        self.sequence += 1
        number = int(name[1:])
        states = {
            (f"{job}/{index}", 1): (state, "done" if state == "exited" else "", False)
            for job, index, state in sorted(tasks)
        }
        apply_heartbeat(
            self.context,
            Heartbeat(
                name,
                name,
                "big",
                ZONES[number % 3],
                number % 2 == 0,
                1,
                self.sequence,
                1,
                9.0 if notice else None,
                states,
            ),
            "h0",
            1,
            True,
        )

    def bind(self, job_id, index, name):
        self.write(block_key(job_id, 0), [1, "0", [[index, 1, name, 1, 1, "a", False]]])

    def unbind(self, job_id):
        self.write(block_key(job_id, 0), [1, "0", []])

    def drain(self, name):
        self.context.drain(name)

    def undrain(self, name):
        self.context.undrain(name)

    def vanish(self, name):
        self.context.machines.pop(name, None)
        self.context.draining.pop(name, None)
        self.context.replica.changes.touch(name)

    def wait(self, seconds):
        self.context.now += seconds


def fleet_after(history):
    fleet = IndexedFleet()
    for kind, *args in history:
        getattr(fleet, kind)(*args)
    fleet.index.refresh()
    return fleet


@settings(max_examples=150)
@given(st.lists(event, max_size=30))
def test_the_incremental_index_agrees_with_a_full_rebuild(history):
    fleet = fleet_after(history)
    context, index = fleet.context, fleet.index
    for machine in context.machines.values():
        number = index.ids[machine.name]
        classes = [key for key, ids in index.classes.items() if number in ids]
        assert len(classes) <= 1
        if is_schedulable(context, machine):
            assert classes == [
                capacity_class(
                    TYPE,
                    machine.zone,
                    machine.spot,
                    free_resources(context, machine),
                    machine.idle_since is not None,
                )
            ]
        elif context.now - machine.last_heartbeat_at < heartbeat_timeout_s(context):
            # Drained, about to be reclaimed or quarantined. Silent machines leave when drawn.
            assert classes == []
        images = {image for image, ids in index.image_holders.items() if number in ids}
        assert images == set(machine.images)
    assert set(index.ids) == set(context.machines)


@settings(max_examples=150)
@given(
    st.lists(event, max_size=30),
    st.sampled_from(sorted(JOBS)),
    st.integers(1, 5),
    st.sets(st.sampled_from(ZONES)),
)
def test_machines_with_capacity_and_no_others_are_drawn(history, job_id, task_count, zones):
    fleet = fleet_after(history)
    context, job = fleet.context, JOBS[job_id]
    drawn = fleet.index.draw(job, zones, {"m5"}, task_count)
    names = [row.machine.name for row in drawn]
    assert len(set(names)) == len(names)
    assert "m5" not in names
    fitting = {
        m.name
        for m in context.machines.values()
        if is_schedulable(context, m)
        and context.is_eligible(job, m)
        and m.zone in zones
        and m.name != "m5"
        and fits_resources(free_resources(context, m), job)
    }
    assert set(names) <= fitting
    # In a fleet this small, no machine with capacity is missed unless enough were found.
    if sum(task_capacity(row.free, job) for row in drawn) < task_count:
        assert set(names) == fitting
    holds_image = [row.has_image for row in drawn]
    assert holds_image == sorted(
        holds_image, reverse=True
    )  # machines that hold the image come first


@settings(max_examples=300)
@given(
    st.floats(0, 8),
    st.integers(0, 4),
    st.floats(0, 64),
    st.floats(0.1, 8),
    st.sampled_from([0.0, 0.5, 1.0, 2.0, 4.0]),
    st.floats(0.1, 64),
)
def test_a_skipped_capacity_class_has_no_capacity(
    cpus, gpus, memory, need, need_gpus, need_memory
):
    job = spec(cpus=need, gpus=need_gpus, memory_gb=need_memory)
    free = Resources(cpus, float(gpus), memory)
    if fits_resources(free, job):
        assert may_fit(job, TYPE, capacity_class(TYPE, "a", False, free, True))


def test_a_silent_machine_leaves_the_index_until_its_next_heartbeat():
    fleet = fleet_after([("heartbeat", "m1", set(), False)])
    fleet.wait(100.0)
    assert fleet.index.draw(JOBS["job-0"], ZONES, (), 1) == []
    assert not fleet.index.classes
    assert "m1" in fleet.context.unresponsive
    fleet.heartbeat("m1", set(), False)
    fleet.index.refresh()
    assert [row.machine.name for row in fleet.index.draw(JOBS["job-0"], ZONES, (), 1)] == ["m1"]


def test_the_number_of_machines_probed_is_independent_of_the_fleet_size(monkeypatch):
    probes = []
    for count in (60, 600):
        fleet = IndexedFleet()
        for number in range(count):
            fleet.heartbeat(f"m{number}", set(), False)
        fleet.index.refresh()
        seen = []
        monkeypatch.setattr(
            fleet.index,
            "_schedulable",
            lambda n, s=seen, p=fleet: (s.append(n), p.index.machines[n])[1],
        )
        fleet.index.draw(JOBS["job-0"], ZONES, (), 4)
        probes.append(len(seen))
    assert probes[0] == pytest.approx(probes[1], abs=2)
    assert probes[1] < 40


@pytest.mark.parametrize("scarce", ["cpus", "memory_gb"])
def test_exhausted_machines_do_not_hide_machines_with_capacity(scarce):
    # A gang that filled the CPUs of 63 machines but little of their memory slowed jobs of one task
    # to less than one start a second, although 337 machines were idle.
    fleet = IndexedFleet()
    full_use = {"cpus": 0.1, "memory_gb": 0.1, scarce: getattr(TYPE, scarce)}
    filler = spec("service", 100, "red", gpus=0.0, **full_use)
    fleet.write(job_key("job-9"), encode_job("queued", "red", filler, 0, 100))
    names = [f"m{number}" for number in range(100)]
    for number, name in enumerate(names):
        tasks = {("job-9", number, "running")} if number < 90 else set()
        for _ in range(2):  # the second shows that the worker receives the answers
            fleet.heartbeat(name, tasks, False)
    fleet.index.refresh()
    partial_need = {"cpus": 0.1, "memory_gb": 0.1, scarce: 0.2 * getattr(TYPE, scarce)}
    job = spec("array", 1, "blue", gpus=0.0, spot=True, **partial_need)
    for _ in range(20):
        drawn = fleet.index.draw(job, ZONES, (), 2)
        assert drawn
        assert {row.machine.name for row in drawn} <= set(names[90:])
