"""The platform's settings file, checked."""

import configparser
import tomllib
from collections.abc import Mapping
from pathlib import Path

import msgspec

from oakmux import constants

# A job's end is written together with the end of its last tasks.
MIN_TXN_OPS = 2


class SettingsError(Exception):
    """The settings can't be used; the text says which field and why."""


class Team(msgspec.Struct, frozen=True):
    """A team with its guarantee and its limit; 0 means none."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0
    gpus: float = 0.0
    gpus_max: float = 0.0


class Objective(msgspec.Struct, frozen=True):
    """An aim for starting or finishing work."""

    kind: str
    job_class: str | None = msgspec.field(default=None, name="class")
    within_s: float | None = None
    share: float | None = None


class WorkerClient(msgspec.Struct, frozen=True):
    """Times of the workers, in seconds."""

    report_s: float
    lease_s: float
    gang_wait_s: float
    gang_peer_s: float
    cancel_s: float


class ComingLimits(msgspec.Struct, frozen=True):
    """Limits that the state service will have from some moment on; what is missing stays."""

    rps: float | None = None
    write_rps: float | None = None
    value_kb: float | None = None
    txn_ops: int | None = None


class StateLimits(msgspec.Struct, frozen=True):
    """Limits of the state service."""

    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    next: ComingLimits = ComingLimits()

    @property
    def least(self) -> "StateLimits":
        """The smaller of the present and the coming limits: they change without notice."""
        coming = {
            name: min(value, getattr(self, name))
            for name, value in msgspec.structs.asdict(self.next).items()
            if value is not None
        }
        return msgspec.structs.replace(self, **coming)


class CloudLimits(msgspec.Struct, frozen=True):
    """Limits of the cloud."""

    rps: float
    list_lag_s: float


class Resources(msgspec.Struct, frozen=True):
    """What a controller may use."""

    cores: float = 1.0
    ram_mb: float = 256.0
    fd_limit: int = 512


class Facts(msgspec.Struct, frozen=True):
    """What is known of the deployment."""

    zones: list[str]
    teams: list[Team]
    workers: WorkerClient
    state: StateLimits
    cloud: CloudLimits
    size: int = 1
    skew_ms: float = 0.0
    objectives: list[Objective] = []
    resources: Resources = Resources()


class Member(msgspec.Struct, frozen=True):
    """Another controller."""

    label: str
    peer_addr: str
    area: str = ""


class External(msgspec.Struct, frozen=True):
    """Addresses of the platform's services."""

    cloud: str
    state: str


class Spread(msgspec.Struct, frozen=True):
    """The operator's settings for how load is spread."""

    openings: bool = False
    minimum_share: float = constants.MINIMUM_SHARE


class Settings(msgspec.Struct, frozen=True):
    """All that the platform hands over, and what operators set beside it."""

    label: str
    public_addr: str
    internal_addr: str
    external: External
    facts: Facts
    area: str = ""
    members: list[Member] = []
    # Not the platform's: its file has no key of this name.
    spread: Spread = msgspec.field(default=Spread(), name="operators.spread")

    @property
    def size(self) -> int:
        """Number of controllers, ourselves included."""
        return max(self.facts.size, len(self.members) + 1)


def split_addr(addr: str) -> tuple[str, int]:
    """Split `host:port`; raises ValueError."""
    host, _, port = addr.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {addr!r}")
    return host, int(port)


def check(settings: Settings) -> Settings:
    """Refuse settings that have the right form but can't work."""
    addrs = {
        "public_addr": settings.public_addr,
        "internal_addr": settings.internal_addr,
        "external.cloud": settings.external.cloud,
        "external.state": settings.external.state,
    }
    addrs.update({f"members.{m.label}.peer_addr": m.peer_addr for m in settings.members})
    for field, addr in addrs.items():
        try:
            split_addr(addr)
        except ValueError as error:
            raise SettingsError(f"{field}: {error}") from None
    facts = settings.facts
    positive = {
        **{f"facts.workers.{k}": v for k, v in msgspec.structs.asdict(facts.workers).items()},
        **{
            f"facts.state.{k}": v
            for k, v in msgspec.structs.asdict(facts.state).items()
            if k != "next"
        },
        **{
            f"facts.state.next.{k}": v
            for k, v in msgspec.structs.asdict(facts.state.next).items()
            if v is not None
        },
        **{f"facts.cloud.{k}": v for k, v in msgspec.structs.asdict(facts.cloud).items()},
        "facts.resources.fd_limit": facts.resources.fd_limit,
        "facts.size": facts.size,
    }
    for field, value in positive.items():
        if not 0 < value < 1e12:
            raise SettingsError(f"{field}: must be above 0, not {value}")
    for team in facts.teams:
        for name, value in msgspec.structs.asdict(team).items():
            if name != "name" and not 0 <= value < 1e12:
                raise SettingsError(
                    f"facts.teams.{team.name}.{name}: must be 0 or more, not {value}"
                )
    if facts.state.least.txn_ops < MIN_TXN_OPS:
        raise SettingsError(
            f"facts.state.txn_ops: must be at least {MIN_TXN_OPS}: a job that "
            "ends takes that many changes"
        )
    if not facts.zones:
        raise SettingsError("facts.zones: at least one zone is needed")
    labels = [settings.label, *(m.label for m in settings.members)]
    if len(set(labels)) != len(labels):
        raise SettingsError("members.label: every controller needs a label of its own")
    return settings


def load(path: str) -> Settings:
    """Read and check a settings file; raises SettingsError with one line."""
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


def load_spread(path: str) -> Spread:
    """Read the operator's settings for how load is spread; raises SettingsError with one line."""
    parser = read_ini(path, {"spread": {"openings", "floor_share"}})
    try:
        openings = parser.getboolean("spread", "openings", fallback=False)
        share = parser.getfloat("spread", "floor_share", fallback=constants.MINIMUM_SHARE)
    except ValueError as error:
        raise SettingsError(f"{path}: [spread] {error}") from None
    if not 0 <= share <= constants.MINIMUM_SHARE_LIMIT:
        raise SettingsError(
            f"{path}: [spread] floor_share: must be from 0 to "
            f"{constants.MINIMUM_SHARE_LIMIT}, not {share}"
        )
    return Spread(openings, share)
