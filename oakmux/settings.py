"""Settings of a controller: the deployment's file (TOML) and the operator's files (INI).

Fields have the code's names; `name=` gives the name in the deployment's file where it differs.
Error messages use the names in the file.
"""

import configparser
import tomllib
from collections.abc import Callable, Iterator, Mapping
from pathlib import Path
from typing import Any

import msgspec

from oakmux import constants

MIN_TXN_OPS = 2
"""Smallest allowed `txn_ops`: a job's end is written together with the end of its last tasks."""

MAX_VALUE = 1e12
"""Numbers in the settings must be below this."""

MAX_NAME_BYTES = 150
"""Longest name of a team or controller: keys in the store have at most 200 bytes."""

MAX_PORT = 65535


class SettingsError(Exception):
    """The settings can't be used; the text names the field and the reason."""


class Team(msgspec.Struct, frozen=True):
    """A team with its guarantee and its limit; 0 means none."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(msgspec.Struct, frozen=True):
    """A service-level objective for starting or finishing jobs."""

    kind: str
    job_class: str | None = msgspec.field(default=None, name="class")
    within_s: float | None = None
    share: float | None = None


class WorkerTimings(msgspec.Struct, frozen=True):
    """Intervals and timeouts of the workers, in seconds."""

    heartbeat_interval_s: float = msgspec.field(name="report_s")
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float


class UpcomingLimits(msgspec.Struct, frozen=True):
    """Limits that the store will have at some later time; a missing limit does not change."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StoreLimits(msgspec.Struct, frozen=True):
    """Limits of the store: requests and writes a second, value size, writes in a transaction."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    upcoming: UpcomingLimits = msgspec.field(default=UpcomingLimits(), name="next")

    @property
    def strictest(self) -> "StoreLimits":
        """The smaller of the present and the upcoming limits, as these apply without notice."""
        smaller = {
            name: min(value, getattr(self, name))
            for name, value in msgspec.structs.asdict(self.upcoming).items()
            if value is not None
        }
        return msgspec.structs.replace(self, **smaller)


class CloudLimits(msgspec.Struct, frozen=True):
    """Limits of the cloud: requests a second, and the delay of its list of instances (s)."""

    rps: float
    list_lag_s: float


class Resources(msgspec.Struct, frozen=True):
    """Resources that a controller's process may use."""

    cores: float = 1.0
    ram_mb: float = 256.0
    fd_limit: int = 512


class Facts(msgspec.Struct, frozen=True):
    """Properties of the deployment."""

    zones: list[str]
    teams: list[Team]
    workers: WorkerTimings
    store: StoreLimits = msgspec.field(name="state")
    cloud: CloudLimits
    size: int = 1
    skew_ms: float = 0.0
    objectives: list[Objective] = []
    resources: Resources = Resources()


class Peer(msgspec.Struct, frozen=True):
    """Another controller."""

    controller_id: str = msgspec.field(name="label")
    address: str = msgspec.field(name="peer_addr")
    zone: str = msgspec.field(default="", name="area")


class ServiceAddresses(msgspec.Struct, frozen=True):
    """Addresses of the services that a controller depends on."""

    cloud: str
    store: str = msgspec.field(name="state")


class SchedulingOptions(msgspec.Struct, frozen=True):
    """The operator's options for the scheduler."""

    backfill: bool = msgspec.field(default=False, name="openings")
    minimum_share: float = constants.MINIMUM_SHARE


class Settings(msgspec.Struct, frozen=True):
    """The deployment's settings and the operator's options."""

    controller_id: str = msgspec.field(name="label")
    public_address: str = msgspec.field(name="public_addr")
    internal_address: str = msgspec.field(name="internal_addr")
    services: ServiceAddresses = msgspec.field(name="external")
    facts: Facts
    zone: str = msgspec.field(default="", name="area")
    peers: list[Peer] = msgspec.field(default_factory=list, name="members")
    # Set from the operator's file; the deployment's file can't have a key of this name.
    scheduling: SchedulingOptions = msgspec.field(
        default=SchedulingOptions(), name="operators.spread"
    )

    @property
    def size(self) -> int:
        """Number of controllers, this one included."""
        return max(self.facts.size, len(self.peers) + 1)


def split_addr(addr: str) -> tuple[str, int]:
    """Split `host:port`; raises ValueError."""
    host, _, port = addr.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"not an address: {addr!r}")
    return host, int(port)


def check(settings: Settings) -> Settings:
    """Return the settings; raises SettingsError if they are well formed but invalid."""
    for run_check in _CHECKS:
        run_check(settings)
    return settings


def _file_fields(struct: msgspec.Struct) -> Iterator[tuple[str, Any]]:
    """Yield the fields of a struct with their names in the file."""
    for field in msgspec.structs.fields(struct):
        yield field.encode_name, getattr(struct, field.name)


def _check_addresses(settings: Settings) -> None:
    addresses = {
        "public_addr": settings.public_address,
        "internal_addr": settings.internal_address,
        "external.cloud": settings.services.cloud,
        "external.state": settings.services.store,
    }
    for peer in settings.peers:
        addresses[f"members.{peer.controller_id}.peer_addr"] = peer.address
    for name, address in addresses.items():
        try:
            split_addr(address)
        except ValueError as error:
            raise SettingsError(f"{name}: {error}") from None


def _positive_fields(facts: Facts) -> Iterator[tuple[str, float]]:
    """Yield the numbers that must be above 0, in the order in which they are checked."""
    for section, struct in (
        ("facts.workers", facts.workers),
        ("facts.state", facts.store),
        ("facts.state.next", facts.store.upcoming),
        ("facts.cloud", facts.cloud),
    ):
        for name, value in _file_fields(struct):
            if value is not None and not isinstance(value, msgspec.Struct):
                yield f"{section}.{name}", value
    yield "facts.resources.fd_limit", facts.resources.fd_limit
    yield "facts.size", facts.size


def _check_positive(settings: Settings) -> None:
    for name, value in _positive_fields(settings.facts):
        if not 0 < value < MAX_VALUE:
            raise SettingsError(f"{name}: must be above 0, not {value}")


def _check_names(settings: Settings) -> None:
    """Check that the names of teams and controllers can be part of a key in the store."""
    names = {f"facts.teams.{team.name}.name": team.name for team in settings.facts.teams}
    names["label"] = settings.controller_id
    names |= {f"members.{peer.controller_id}.label": peer.controller_id for peer in settings.peers}
    for field, name in names.items():
        if not 1 <= len(name.encode()) <= MAX_NAME_BYTES or any(map(str.isspace, name)):
            raise SettingsError(f"{field}: must be 1 to {MAX_NAME_BYTES} bytes without spaces")


def _check_teams(settings: Settings) -> None:
    for team in settings.facts.teams:
        for name, value in _file_fields(team):
            if name != "name" and not 0 <= value < MAX_VALUE:
                raise SettingsError(
                    f"facts.teams.{team.name}.{name}: must be 0 or more, not {value}"
                )


def _check_transaction_size(settings: Settings) -> None:
    if settings.facts.store.strictest.txn_ops < MIN_TXN_OPS:
        raise SettingsError(
            f"facts.state.txn_ops: must be at least {MIN_TXN_OPS}: a job that "
            "ends takes that many changes"
        )


def _check_zones(settings: Settings) -> None:
    if not settings.facts.zones:
        raise SettingsError("facts.zones: at least one zone is needed")


def _check_controller_ids(settings: Settings) -> None:
    controller_ids = [settings.controller_id, *(peer.controller_id for peer in settings.peers)]
    if len(set(controller_ids)) != len(controller_ids):
        raise SettingsError("members.label: every controller needs a unique label")


# In this order; the settings are refused for their first fault.
_CHECKS: tuple[Callable[[Settings], None], ...] = (
    _check_addresses,
    _check_positive,
    _check_teams,
    _check_transaction_size,
    _check_zones,
    _check_controller_ids,
    _check_names,
)


def load(path: str) -> Settings:
    """Read and check the deployment's settings file; raises SettingsError with one line."""
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: not TOML: {error}") from None
    try:
        return check(msgspec.convert(raw, Settings))
    except msgspec.ValidationError as error:
        raise SettingsError(f"{path}: {error}") from None


def read_ini(path: str, sections: Mapping[str, set[str]]) -> configparser.ConfigParser:
    """Read an operator's file (INI) with these sections and settings; raises SettingsError."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    except (configparser.Error, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {str(error).splitlines()[0]}") from None
    for section in parser.sections():
        if section not in sections:
            raise SettingsError(f"{path}: unknown section [{section}]")
        for name in parser[section]:
            if name not in sections[section]:
                raise SettingsError(f"{path}: [{section}] {name}: unknown setting")
    return parser


def load_scheduling_options(path: str) -> SchedulingOptions:
    """Read the operator's options for the scheduler; raises SettingsError with one line."""
    parser = read_ini(path, {"spread": {"openings", "floor_share"}})
    try:
        backfill = parser.getboolean("spread", "openings", fallback=False)
        share = parser.getfloat("spread", "floor_share", fallback=constants.MINIMUM_SHARE)
    except ValueError as error:
        raise SettingsError(f"{path}: [spread] {error}") from None
    if not 0 <= share <= constants.MINIMUM_SHARE_LIMIT:
        raise SettingsError(
            f"{path}: [spread] floor_share: must be from 0 to "
            f"{constants.MINIMUM_SHARE_LIMIT}, not {share}"
        )
    return SchedulingOptions(backfill, share)
