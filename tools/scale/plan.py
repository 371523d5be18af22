"""The plan that all child processes read: addresses, configuration and output folder."""

import socket
from pathlib import Path

import msgspec

from tools.scale.config import RunConfig
from tools.scale.jobs import team_limits, team_name, zone_name

HOST = "127.0.0.1"
# Each worker has its own address in 127.0.0.0/8. The second number of the address is this plus
# the index of the worker's process.
WORKER_NET = 64


class Controller(msgspec.Struct, frozen=True):
    """One controller's addresses; the state service tells controllers apart by address `state`."""

    label: str
    zone: str
    public: str
    internal: str
    state: str
    settings: str


class Plan(msgspec.Struct, frozen=True):
    """The input of every child process, stored as JSON."""

    config: RunConfig
    folder: str
    controllers: list[Controller]
    cloud: str
    state_control: str
    hollow: list[str]
    worker_ports: list[int]

    @property
    def path(self) -> Path:
        """The file from which children read the plan."""
        return Path(self.folder) / "plan.json"


def free_ports(count: int) -> list[int]:
    """Return `count` free ports of the loopback address."""
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((HOST, 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def make_plan(config: RunConfig, folder: Path) -> Plan:
    """Choose addresses and write the plan and the controllers' settings."""
    sizes = config.sizes
    ports = iter(free_ports(3 * sizes.controllers + 2 + 2 * sizes.hollow_processes))

    def address() -> str:
        return f"{HOST}:{next(ports)}"

    controllers = [
        Controller(
            f"host-{number}",
            zone_name(number % sizes.zones),
            address(),
            address(),
            address(),
            str(folder / f"host-{number}.toml"),
        )
        for number in range(sizes.controllers)
    ]
    plan = Plan(
        config,
        str(folder),
        controllers,
        address(),
        address(),
        [address() for _ in range(sizes.hollow_processes)],
        [next(ports) for _ in range(sizes.hollow_processes)],
    )
    for controller in controllers:
        Path(controller.settings).write_text(settings_text(plan, controller))
    plan.path.write_bytes(msgspec.json.encode(plan))
    return plan


def read_plan(path: str) -> Plan:
    """Read the plan in a child."""
    return msgspec.json.decode(Path(path).read_bytes(), type=Plan)


def settings_text(plan: Plan, own: Controller) -> str:
    """Return the text of a controller's settings file, as the platform provides it."""
    config = plan.config
    zones = ", ".join(f'"{zone_name(number)}"' for number in range(config.sizes.zones))
    lines = [
        f'label = "{own.label}"',
        f'area = "{own.zone}"',
        f'public_addr = "{own.public}"',
        f'internal_addr = "{own.internal}"',
    ]
    for other in plan.controllers:
        if other is not own:
            lines += [
                "[[members]]",
                f'label = "{other.label}"',
                f'area = "{other.zone}"',
                f'peer_addr = "{other.internal}"',
            ]
    lines += [
        "[external]",
        f'cloud = "{plan.cloud}"',
        f'state = "{own.state}"',
        "[facts]",
        f"size = {config.sizes.controllers}",
        f"zones = [{zones}]",
        "skew_ms = 25.0",
    ]
    limits = team_limits(config)
    for number, limit in enumerate(limits):
        lines += [
            "[[facts.teams]]",
            f'name = "{team_name(number)}"',
            f"cpus = {limit / 2}",
            f"cpus_max = {limit}",
            "gpus = 0.0",
            "gpus_max = 0.0",
        ]
    times, service = config.times, config.service
    lines += [
        "[facts.workers]",
        f"report_s = {times.report_s}",
        f"lease_s = {times.lease_s}",
        f"gang_wait_s = {times.gang_wait_s}",
        f"gang_peer_s = {times.gang_peer_s}",
        f"cancel_s = {times.cancel_s}",
        "[facts.state]",
        f"rps = {service.rps}",
        f"write_rps = {service.write_rps}",
        f"value_kb = {service.value_kb}",
        f"txn_ops = {service.txn_ops}",
        "[facts.cloud]",
        f"rps = {service.cloud_rps}",
        f"list_lag_s = {service.list_lag_s}",
        "[facts.resources]",
        "cores = 1.0",
        "ram_mb = 512.0",
        "fd_limit = 8000",
    ]
    return "\n".join(lines) + "\n"
