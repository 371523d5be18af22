"""The report of a run, as text and as JSON."""

from pathlib import Path
from typing import Any

import msgspec

from tools.scale.histograms import from_seconds, merged, percentiles
from tools.scale.jobs import Kind
from tools.scale.ledger import Breach, Ledger, all_events
from tools.scale.runner import Run, Sample, read_summary

# Length in seconds of the span for the highest rate of starts.
BUSY_SPAN_S = 10.0


class Role(msgspec.Struct, frozen=True):
    """Usage of the processes of a role during the load.

    `cores` is the mean of a process; `cores_peak`, `memory_mb` and `sockets` are the maximum of
    any process, `cores_peak` between two samples (one second).
    """

    processes: int
    cores: float
    cores_peak: float
    memory_mb: float
    sockets: int


class Report(msgspec.Struct, frozen=True):
    """All measurements of a run."""

    fraction: float
    controllers: int
    seconds: float
    complete: bool
    workers: int
    most_running: int
    starts: int
    starts_busiest: float
    accepted: int
    changes: int
    changes_a_start: float
    changes_by_kind: dict[str, int]
    state: dict[str, Any]
    roles: dict[str, Role]
    bytes_a_worker: float
    loopback_bytes: float
    peers_bytes: float
    times: dict[str, dict[str, float]]
    large_gang_s: float | None
    answers: dict[str, int]
    unfinished: int
    ends: dict[str, int]
    rules: dict[str, int]
    breaches: list[Breach]
    controller_errors: int
    most_processes: int
    most_memory_mb: float


RULES = ("ran_twice", "quota", "wrong_place", "ran_cancelled", "not_done", "forgotten")


def role_usage(run: Run, role: str) -> Role:
    """Return the usage of the processes of a role; zeros with fewer than two samples."""
    names = [child.name for child in run.children if child.role == role]
    samples = run.samples
    if len(samples) < 2:
        return Role(len(names), 0.0, 0.0, 0.0, 0)
    elapsed_s = samples[-1].at - samples[0].at
    cpu_s = sum(samples[-1].usage[name][0] - samples[0].usage[name][0] for name in names)
    return Role(
        len(names),
        cpu_s / elapsed_s / len(names),
        max(peak_cores(samples, name) for name in names),
        max(sample.usage[name][1] for sample in samples for name in names),
        max(sample.usage[name][2] for sample in samples for name in names),
    )


def peak_cores(samples: list[Sample], name: str) -> float:
    """Return the highest usage of a process between two samples, in cores."""
    return max(
        (later.usage[name][0] - earlier.usage[name][0]) / (later.at - earlier.at)
        for earlier, later in zip(samples, samples[1:], strict=False)
    )


def make_report(run: Run, complete: bool) -> Report:
    """Check the events against the rules and build the report."""
    ledger = Ledger(run.config)
    ledger.apply_events(all_events(run.folder))
    ledger.close(run.ended_at)
    state = read_summary(run.folder, "state")
    users = read_summary(run.folder, "users")
    hollow = [read_summary(run.folder, child.name) for child in run.hollow]
    store: dict[str, int] = state.get("store", {})
    starts = ledger.counts["starts"]
    seconds = run.samples[-1].at if run.samples else 0.0
    return Report(
        fraction=run.config.fraction,
        controllers=run.config.sizes.controllers,
        seconds=seconds,
        complete=complete,
        workers=max((sample.workers for sample in run.samples), default=0),
        most_running=max((sample.running for sample in run.samples), default=0),
        starts=starts,
        starts_busiest=ledger.peak_start_rate(BUSY_SPAN_S),
        accepted=users.get("counts", {}).get("accepted", 0),
        changes=store.get("changes", 0),
        changes_a_start=store.get("changes", 0) / max(1, starts),
        changes_by_kind={
            key.removeprefix("changes "): count
            for key, count in store.items()
            if key.startswith("changes ")
        },
        state={
            "transactions": store.get("transactions", 0),
            "refused_changes": store.get("refused_changes", 0),
            "failed_changes": store.get("failed_changes", 0),
            "keys": state.get("keys", 0),
            "largest_value": state.get("largest_value", 0),
            "requests": sum(
                counts.get("requests", 0) for counts in state.get("controllers", {}).values()
            ),
            "bytes": state_bytes(state),
        },
        roles={
            role: role_usage(run, role)
            for role in ("controller", "hollow", "state", "cloud", "users")
        },
        bytes_a_worker=worker_bytes(hollow) / max(1.0, seconds) / max(1, mean_workers(run)),
        loopback_bytes=loopback_rate(run),
        peers_bytes=max(
            0.0,
            loopback_rate(run) - (state_bytes(state) + worker_bytes(hollow)) / max(1.0, seconds),
        ),
        times=time_percentiles(ledger, users, hollow),
        large_gang_s=large_gang_wait(run, ledger),
        answers=users.get("counts", {}),
        unfinished=users.get("unfinished", 0),
        ends={
            name.removeprefix("ended: "): count
            for name, count in ledger.counts.items()
            if name.startswith("ended: ")
        },
        rules={rule: ledger.counts[rule] for rule in RULES},
        breaches=ledger.breaches,
        controller_errors=sum(child.error_lines() for child in run.controllers),
        most_processes=run.max_processes,
        most_memory_mb=run.max_memory_mb,
    )


def mean_workers(run: Run) -> float:
    """Return the mean number of workers."""
    return sum(sample.workers for sample in run.samples) / max(1, len(run.samples))


def worker_bytes(hollow: list[dict[str, Any]]) -> int:
    """Return the bytes of the bodies of all heartbeats, their answers and direct orders."""
    counters = [summary.get("counts", {}) for summary in hollow]
    return sum(
        counts.get(name, 0)
        for counts in counters
        for name in ("report_bytes", "answer_bytes", "bytes_in", "bytes_out")
    )


def state_bytes(state: dict[str, Any]) -> int:
    """Return the bytes that the state service received and sent."""
    return sum(
        counts.get("bytes_in", 0) + counts.get("bytes_out", 0)
        for counts in state.get("controllers", {}).values()
    )


def loopback_rate(run: Run) -> float:
    """Return the mean bytes per second on the loopback interface."""
    samples = run.samples
    if len(samples) < 2:
        return 0.0
    return (samples[-1].loopback_bytes - samples[0].loopback_bytes) / (
        samples[-1].at - samples[0].at
    )


def time_percentiles(
    ledger: Ledger, users: dict[str, Any], hollow: list[dict[str, Any]]
) -> dict[str, dict[str, float]]:
    """Return the percentiles of each kind of time, in seconds."""
    percentiles_by_name = {
        name: percentiles(merged([users[f"{name}_times"]]))
        for name in ("submission", "cancellation", "query")
        if f"{name}_times" in users
    }
    percentiles_by_name["report"] = percentiles(
        merged(summary["report_times"] for summary in hollow if "report_times" in summary)
    )
    for name, kind, whole in (
        ("urgent start", Kind.URGENT, True),
        ("gang start", Kind.GANG, True),
        ("array's first start", Kind.ARRAY, False),
        ("service start", Kind.SERVICE, True),
    ):
        percentiles_by_name[name] = percentiles(from_seconds(ledger.wait_times(kind, whole)))
    return percentiles_by_name


def large_gang_wait(run: Run, ledger: Ledger) -> float | None:
    """Return the wait of the large gang until its last task started (s); None if it never did."""
    tasks = run.config.traffic.large_gang_tasks
    for job_id, start_times in ledger.start_times.items():
        if job_id.endswith("999999") and len(start_times) >= tasks > 0:
            return sorted(start_times)[tasks - 1] - ledger.submitted_at[job_id]
    return None


def write_report(report: Report, path: Path) -> None:
    """Write a report as JSON."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(report), indent=1) + b"\n")


def report_lines(report: Report) -> list[str]:
    """Return a report as lines of text."""
    output = [
        f"fraction {report.fraction:g}, {report.controllers} controllers, {report.seconds:.0f} s"
        f"{'' if report.complete else ' (incomplete)'}: {report.workers} workers, "
        f"at most {report.most_running} running tasks, {report.starts} starts, "
        f"{report.starts_busiest:.0f}/s in the busiest {BUSY_SPAN_S:g} s",
        f"changes {report.changes}, {report.changes_a_start:.2f} per start: "
        f"{report.changes_by_kind}",
        f"state service: {report.state}",
    ]
    for role, used in report.roles.items():
        output.append(
            f"{role} ×{used.processes}: {used.cores:.2f} cores each, peak "
            f"{used.cores_peak:.2f}; {used.memory_mb:.0f} MB; {used.sockets} sockets"
        )
    output.append(
        f"per worker: {report.bytes_a_worker:.0f} bytes/s; peers' share of loopback MB/s: "
        f"{report.peers_bytes / 1e6:.2f} of {report.loopback_bytes / 1e6:.2f}"
    )
    for name, values in report.times.items():
        parts = " ".join(f"{key} {value:.3g}" for key, value in values.items())
        output.append(f"{name}: {parts}")
    if report.large_gang_s is not None:
        output.append(f"the large gang started after {report.large_gang_s:.1f} s")
    output.append(f"answers to users: {report.answers}; unfinished jobs: {report.unfinished}")
    output.append(f"tasks ended: {report.ends}")
    output.append(
        f"breaches by rule: {report.rules}; error lines of controllers: {report.controller_errors}"
    )
    output += [
        f"BROKEN {breach.rule} at {breach.at:.2f}: {breach.text}" for breach in report.breaches
    ]
    output.append(f"at most {report.most_processes} processes, {report.most_memory_mb:.0f} MB")
    return output
