"""The size that the service is designed for, read from docs/capacity/size.toml."""

import tomllib
from pathlib import Path

import msgspec

SECONDS_PER_DAY = 86_400.0


class Target(msgspec.Struct, frozen=True):
    """The size the operators require: counts, and rates per second unless the name has a unit."""

    workers: float
    jobs_a_day: float
    starts: float
    running_tasks: float
    largest_gang: float
    teams: float
    regions: float
    zones: float
    controllers: float
    config_changes_a_day: float
    restarts_a_day: float
    zone_workers: float


class Assumed(msgspec.Struct, frozen=True):
    """Values that the estimates need and the operators do not state."""

    report_s: float
    history_days: float
    hot_team_share: float
    queries: float
    cold_start_s: float
    submissions_peak: float
    waiting_jobs: float


class Budget(msgspec.Struct, frozen=True):
    """Limits for each role: cores, MB, bytes/s, operations/s, seconds, sockets, sizes in bytes."""

    worker_bytes: float
    controller_cores: float
    controller_mb: float
    controller_sockets: float
    state_changes: float
    state_requests: float
    value_bytes: float
    transaction_bytes: float
    urgent_s: float
    config_s: float


class Size(msgspec.Struct, frozen=True):
    """Target, assumptions and budgets."""

    target: Target
    assumed: Assumed
    budget: Budget

    def grown(self, factor: float) -> "Size":
        """Return this size with all load and all machines multiplied by `factor`.

        The layout (teams, regions, zones, controllers) and the budgets stay the same.
        """
        target = self.target
        return msgspec.structs.replace(
            self,
            target=msgspec.structs.replace(
                target,
                workers=target.workers * factor,
                jobs_a_day=target.jobs_a_day * factor,
                starts=target.starts * factor,
                running_tasks=target.running_tasks * factor,
                largest_gang=target.largest_gang * factor,
                config_changes_a_day=target.config_changes_a_day * factor,
                restarts_a_day=target.restarts_a_day * factor,
                zone_workers=target.zone_workers * factor,
            ),
            assumed=msgspec.structs.replace(
                self.assumed,
                queries=self.assumed.queries * factor,
                submissions_peak=self.assumed.submissions_peak * factor,
                waiting_jobs=self.assumed.waiting_jobs * factor,
            ),
        )

    @property
    def workers_per_controller(self) -> float:
        """Workers that report to one controller, if evenly spread."""
        return self.target.workers / self.target.controllers

    @property
    def reports_per_s(self) -> float:
        """Reports per second of all workers: periodic ones, and one for each start and end."""
        return self.target.workers / self.assumed.report_s + 2 * self.target.starts

    @property
    def tasks_per_worker(self) -> float:
        """Average number of tasks that run on a worker."""
        return self.target.running_tasks / self.target.workers

    @property
    def finished_jobs(self) -> float:
        """Finished jobs in the records, if they are kept for `history_days`."""
        return self.target.jobs_a_day * self.assumed.history_days


def read_size(path: Path) -> Size:
    """Read the size file; raises ValueError with a one-line text."""
    try:
        return msgspec.convert(tomllib.loads(path.read_text()), Size)
    except (OSError, tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ValueError(f"{path.name}: {error}") from None
