"""tools.spread and tools.paper on a small controller log."""

import pytest
from click.testing import CliRunner

from tools import paper, spread
from tools.recovery import parse_events

LOG = """\
  1.000 h0 INFO oakmux.core event=worker_registered machine=m1 manager=h0 agent_epoch=1
  1.000 h0 INFO oakmux.core event=worker_registered machine=m2 manager=h0 agent_epoch=1
  2.000 h0 INFO oakmux.core event=job_accepted job=job-1 job_class=x \
kind=array tasks=2 gpus=1.0 priority=1
  2.500 h0 INFO oakmux.core event=task_bound task=job-1/0 attempt=1 machine=m1
  3.500 h0 INFO oakmux.core event=task_bound task=job-1/1 attempt=2 machine=m1
  4.500 h0 INFO oakmux.core event=task_running task=job-1/0 attempt=1 machine=m1
  4.500 h0 INFO oakmux.core event=task_running task=job-1/1 attempt=2 machine=m1
  5.000 h1 INFO oakmux.core event=job_accepted job=job-2 job_class=y \
kind=gang tasks=2 gpus=2.0 priority=2
  8.000 h1 INFO oakmux.core event=task_preempted task=job-1/1 attempt=2 machine=m1 by=job-2
  9.000 h0 INFO oakmux.core event=task_unbound task=job-1/1 attempt=2 machine=m1 \
why=stopped saved=0
  9.500 h0 INFO oakmux.core event=task_unbound task=job-1/0 attempt=1 machine=m1 why=done saved=0
 10.000 h1 INFO oakmux.core event=task_bound task=job-2/0 attempt=1 machine=m1
 10.000 h1 INFO oakmux.core event=task_bound task=job-2/1 attempt=1 machine=m2
 12.000 h1 INFO oakmux.core event=task_running task=job-2/0 attempt=1 machine=m1
 12.000 h1 INFO oakmux.core event=task_running task=job-2/1 attempt=1 machine=m2
 torn line
 22.000 h1 INFO oakmux.core event=task_unbound task=job-2/0 attempt=1 machine=m1 why=done saved=0
 22.000 h1 INFO oakmux.core event=task_unbound task=job-2/1 attempt=1 machine=m2 why=done saved=0
 23.000 h0 INFO oakmux.core event=task_bound task=job-1/1 attempt=3 machine=m1
 23.000 h0 INFO oakmux.core event=task_running task=job-1/1 attempt=3 machine=m1
 27.000 h0 INFO oakmux.core event=task_unbound task=job-1/1 attempt=3 machine=m1 why=done saved=0
"""


def test_gpu_time_and_preemptions_are_counted_from_a_log():
    load = spread.Load(parse_events(LOG.splitlines()), [4.0, 15.0])
    assert load.gpu_seconds == {
        ("x", "fetch"): 3.0,
        ("x", "ended: stopped"): 4.5,
        ("x", "ran"): 9.0,
        ("y", "fetch"): 8.0,
        ("y", "ran"): 40.0,
    }
    assert load.waits == {("x", 0): [0.5, 1.5], ("y", 2): [5.0, 5.0]}
    assert load.preemptions == {("x", "y"): 1}
    assert [(at, dict(used)) for at, _, used in load.snapshots] == [(4.0, {2: 1}), (15.0, {2: 2})]


def test_starts_in_time_are_reported_by_class_team_and_largest_job():
    late = [
        f"{200 + n}.000 h0 INFO oakmux.core event=job_accepted job=job-{10 + n} job_class=z "
        f"kind=gang tasks={2 + n // 2} gpus=1.0 priority=2 team=t"
        for n in range(4)
    ]
    late.append("220.000 h1 INFO oakmux.core event=job_cancelled job=job-13")
    late += [
        f"{start}.000 h0 INFO oakmux.core event={name} task=job-{job}/{task} attempt=1 machine=m1"
        for job, tasks, start in ((10, 2, 300), (12, 2, 501))
        for task in range(tasks)
        for name in ("task_bound", "task_running")
    ]
    late.append("600.000 h0 INFO oakmux.core event=roles_held roles=none")
    load = spread.Load(parse_events(LOG.splitlines() + late), [])
    assert list(load.starts_by_group()) == [
        ("class x", 1, 1, 2.5),
        ("class y", 1, 1, 7.0),
        ("class z", 3, 1, 399.0),
        ("largest x (2)", 1, 1, 2.5),
        ("largest y (2)", 1, 1, 7.0),
        ("largest z (3)", 1, 0, 398.0),
        ("team t", 3, 1, 399.0),
        ("team unknown", 2, 2, 7.0),
    ]


def test_ideal_schedule_starts_a_gang_once_all_its_gpus_are_free():
    day = paper.Day(parse_events(LOG.splitlines()))
    capacity = day.capacity(2.0)
    # Four GPUs: the array takes two at 2 s, for 5 and 4 s; the gang needs all four.
    assert paper.replay(day.job_runs(False), capacity) == {"x": [0.0, 0.0], "y": [2.0, 2.0]}
    with_fetches = paper.replay(day.job_runs(True), capacity)
    assert with_fetches["y"] == [6.0, 6.0]
    assert sorted(with_fetches["x"]) == [0.0, 2.0]


@pytest.mark.parametrize("tool, more", [(spread.main, []), (paper.main, ["--gpus", "2"])])
def test_log_tools_print_a_report_and_refuse_a_log_without_events(tmp_path, tool, more):
    good, bad = tmp_path / "good", tmp_path / "bad"
    good.write_text(LOG)
    bad.write_text("nothing\n")
    assert "y" in CliRunner().invoke(tool, [str(good), *more]).output
    refused = CliRunner().invoke(tool, [str(bad), *more])
    assert refused.exit_code == 2
    assert "no event" in refused.output
