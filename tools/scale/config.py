"""The configuration of a run: sizes, traffic, limits and injected faults (`troubles`)."""

import tomllib
from pathlib import Path
from typing import Literal

import msgspec


class ConfigError(Exception):
    """The configuration is invalid; the text names the field and the reason."""


class Sizes(msgspec.Struct, frozen=True):
    """Counts of each component; `--fraction` scales `workers` and the traffic only."""

    controllers: int
    workers: int
    hollow_processes: int
    teams: int
    zones: int


class Traffic(msgspec.Struct, frozen=True):
    """What users submit: task starts per second (`starts`), and jobs by kind.

    Shares are fractions from 0 to 1; fields that end in `_s` are seconds.
    """

    seconds: float
    starts: float
    array_tasks: int
    run_s: float
    single_share: float
    pinned_share: float
    urgent_share: float
    gang_tasks: int
    gang_every_s: float
    large_gang_tasks: int = 0
    large_gang_at_s: float = 0.0
    services: int = 0
    service_tasks: int = 2
    hot_team_share: float = 0.0
    cancel_share: float = 0.05
    poll_s: float = 5.0
    drain_s: float = 30.0
    slow_fetch_s: float = 0.5


class Machines(msgspec.Struct, frozen=True):
    """CPUs of a worker and of each task, and the boot time of a machine (s)."""

    cpus: float = 10.0
    task_cpus: float = 3.0
    service_cpus: float = 1.0
    boot_s: float = 1.5


class Times(msgspec.Struct, frozen=True):
    """Times of the workers in seconds; the controllers' settings get the same values."""

    report_s: float = 2.5
    lease_s: float = 15.0
    gang_wait_s: float = 30.0
    gang_peer_s: float = 8.0
    cancel_s: float = 35.0


class Service(msgspec.Struct, frozen=True):
    """Limits of the state service and of the cloud; the list lag is in seconds."""

    rps: float
    write_rps: float
    value_kb: float = 8.0
    txn_ops: int = 48
    cloud_rps: float = 20.0
    list_lag_s: float = 2.0


class Bounds(msgspec.Struct, frozen=True):
    """Limits of a run on this machine: processes, MB, seconds.

    `processes` and `seconds` are checked before the start, `processes` and `memory_mb` during
    the run.
    """

    processes: int = 200
    memory_mb: float = 12_000.0
    seconds: float = 900.0


class Trouble(msgspec.Struct, frozen=True):
    """A fault that is injected `at_s` seconds after the load starts.

    - `kill`: controller `index` is killed and restarted after `for_s`.
    - `rack`: `count` workers of zone `index` disappear.
    - `zone`: all workers of zone `index` disappear.
    - `restarts`: `count` workers disappear, spread over `for_s`.
    - `state_out`: the state service is down for `for_s`.
    - `state_refuse`: the state service refuses controller `index` for `for_s`.
    - `state_slow`: the state service answers `delay_s` late for `for_s`.
    """

    at_s: float
    kind: Literal["kill", "rack", "zone", "restarts", "state_out", "state_refuse", "state_slow"]
    index: int = 0
    count: int = 0
    for_s: float = 0.0
    delay_s: float = 0.0


class RunConfig(msgspec.Struct, frozen=True):
    """The whole configuration of a run."""

    sizes: Sizes
    traffic: Traffic
    service: Service
    machines: Machines = Machines()
    times: Times = Times()
    bounds: Bounds = Bounds()
    troubles: list[Trouble] = []
    seed: int = 1
    fraction: float = 1.0

    def scaled(self, fraction: float) -> "RunConfig":
        """Return this run with workers and traffic multiplied; `troubles` keep their counts."""
        sizes, traffic = self.sizes, self.traffic
        return msgspec.structs.replace(
            self,
            fraction=fraction,
            sizes=msgspec.structs.replace(sizes, workers=max(4, round(sizes.workers * fraction))),
            traffic=msgspec.structs.replace(
                traffic,
                starts=traffic.starts * fraction,
                services=round(traffic.services * fraction),
                large_gang_tasks=round(traffic.large_gang_tasks * fraction),
            ),
        )


def check(config: RunConfig) -> RunConfig:
    """Return the configuration; raise ConfigError if the run is impossible or exceeds `bounds`."""
    sizes = config.sizes
    for name in ("controllers", "workers", "hollow_processes", "teams", "zones"):
        if getattr(sizes, name) < 1:
            raise ConfigError(f"sizes.{name}: must be at least 1")
    processes = sizes.controllers + sizes.hollow_processes + 3
    if processes > config.bounds.processes:
        raise ConfigError(
            f"bounds.processes: the run needs {processes}, {config.bounds.processes} are allowed"
        )
    total = config.traffic.seconds + config.traffic.drain_s
    if not 0 < total <= config.bounds.seconds:
        raise ConfigError(
            f"traffic.seconds: {total:g} s together with drain_s; must be above 0 and at most "
            f"{config.bounds.seconds:g} s (bounds.seconds)"
        )
    for trouble in config.troubles:
        if trouble.kind in ("kill", "state_refuse") and trouble.index >= sizes.controllers:
            raise ConfigError(f"troubles.index: there is no controller {trouble.index}")
        if trouble.kind == "zone" and trouble.index >= sizes.zones:
            raise ConfigError(f"troubles.index: there is no zone {trouble.index}")
    return config


def load_config(path: Path, fraction: float = 1.0, controllers: int | None = None) -> RunConfig:
    """Read, scale and check a run's configuration; raise ConfigError with a one-line text."""
    try:
        config = msgspec.convert(tomllib.loads(path.read_text()), RunConfig)
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise ConfigError(f"{path}: {error}") from None
    if not 0 < fraction <= 4:
        raise ConfigError(f"--fraction: must be above 0 and at most 4, not {fraction:g}")
    scaled = config.scaled(fraction)
    if controllers is not None:
        scaled = msgspec.structs.replace(
            scaled, sizes=msgspec.structs.replace(scaled.sizes, controllers=controllers)
        )
    return check(scaled)
