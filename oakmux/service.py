"""The controller process: connects the core with its sockets and its timer."""

import argparse
import asyncio
import logging
import os
import random
import sys
import time
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, Protocol

import msgspec

from oakmux import constants, settings
from oakmux.core import messages
from oakmux.core.context import Context
from oakmux.core.controller import Controller, Subsystem
from oakmux.core.messages import Command, Effect
from oakmux.core.peer_messages import LendChanges
from oakmux.transport.cloud_client import CloudClient
from oakmux.transport.http_server import Request, ServerProtocol
from oakmux.transport.peer_client import PeerClient
from oakmux.transport.request_router import RequestRouter
from oakmux.transport.store_client import StoreClient
from oakmux.transport.worker_client import WorkerClient

log = logging.getLogger("oakmux")

LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


class Plugin(Protocol):
    """The parts of an optional subsystem, inside and outside the core."""

    subsystems: Sequence[Callable[[Context], Subsystem]]

    def paths(self, offer: Callable[[Command], bool]) -> dict[str, Callable[[Request, str], None]]:
        """Return the handlers of further paths of the public address, by path prefix."""

    async def start(self, offer: Callable[[Command], bool], max_connections: int) -> None:
        """Open the subsystem's listeners, for at most `max_connections` connections."""

    def tick(self) -> list[Command]:
        """Return commands for the core, ten times a second."""


class Service:
    """One controller process."""

    def __init__(self, conf: settings.Settings, plugins: Sequence[Plugin] = ()) -> None:
        self.conf = conf
        self.plugins = plugins
        self.loop = asyncio.get_running_loop()
        wall_clock_offset_ms = int(time.time() * 1000) - int(self.loop.time() * 1000)
        self.core = Controller(
            conf,
            random.Random(),
            wall_clock_offset_ms,
            [make for plugin in plugins for make in plugin.subsystems],
        )
        self.commands: list[Command] = []
        self.step_scheduled = False
        self.tasks: set[asyncio.Task[None]] = set()
        self.router = RequestRouter(self.offer)
        for plugin in plugins:
            self.router.prefix_routes.update(plugin.paths(self.offer))
        self.store = StoreClient(conf, self.put)
        self.cloud = CloudClient(conf, self.put)
        self.workers = WorkerClient(self.put)
        cancellations = self.core.agents.cancellations
        self.peers = {
            peer.controller_id: PeerClient(
                conf.controller_id,
                peer.controller_id,
                peer.address,
                self.put,
                lambda: cancellations.revision,
            )
            for peer in conf.peers
        }

    def offer(self, command: Command) -> bool:
        """Queue a command from outside and return True, or return False if the queue is full."""
        if len(self.commands) >= constants.MAX_QUEUED_COMMANDS:
            return False
        self.put(command)
        return True

    def put(self, command: Command) -> None:
        """Queue a command; all commands of COMMAND_BATCH_S are processed in one step."""
        self.commands.append(command)
        if not self.step_scheduled:
            self.step_scheduled = True
            self.loop.call_later(constants.COMMAND_BATCH_S, self.run_step)

    def run_step(self) -> None:
        """Pass the queued commands to the core and carry out the resulting effects."""
        self.step_scheduled = False
        batch, self.commands = self.commands, []
        for effect in self.core.step(self.loop.time(), batch):
            try:
                self.carry_out(effect)
            except Exception:  # one effect must not end the process
                log.exception("event=effect_failed kind=%s", type(effect).__name__)

    def carry_out(self, effect: Effect) -> None:
        """Pass an effect to the client of its counterpart."""
        match effect:
            case messages.Answer(request, status, body):
                self.router.answer(request, status, body)
            case messages.SendToPeer(controller_id, message):
                if controller_id in self.peers:
                    self.peers[controller_id].send(message)
            case messages.LendQuota():
                self._lend_quota(effect)
            case messages.CreditQuota(changes):
                self.store.credit(changes)
            case messages.SendWorkerCommands():
                self.spawn(self.workers.send_commands(effect))
            case messages.CloudOperation():
                self.spawn(self.cloud.carry_out(effect))
            case messages.StoreOperation():
                self.store.submit(effect)
            case _:
                raise TypeError(f"unknown effect {effect!r}")

    def _lend_quota(self, effect: messages.LendQuota) -> None:
        lent = self.store.lend(effect.changes)
        if lent and effect.controller_id in self.peers:
            self.peers[effect.controller_id].send(LendChanges(lent))

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background, with a reference that prevents its collection."""
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def listen(
        self, addr: str, handler: Callable[[Request], None], max_connections: int, max_body: int
    ) -> None:
        """Serve an address with at most `max_connections` connections."""
        host, port = settings.split_addr(addr)
        open_connections: set[ServerProtocol] = set()

        def accept() -> ServerProtocol:
            return ServerProtocol(handler, open_connections, max_connections, max_body)

        await self.loop.create_server(accept, host, port, backlog=256)

    async def run(self) -> None:
        """Serve until killed."""
        max_connections = int(
            self.conf.facts.resources.fd_limit * (1 - constants.CLIENT_SOCKETS_SHARE)
        )
        await self.listen(
            self.conf.public_address,
            self.router.handle_public,
            max_connections,
            constants.MAX_BODY_BYTES,
        )
        await self.listen(
            self.conf.internal_address,
            self.router.handle_internal,
            constants.PEER_CONNECTIONS * 4 * self.conf.size,
            constants.PEER_BODY_BYTES,
        )
        for plugin in self.plugins:
            await plugin.start(self.offer, max_connections)
        log.info(
            "event=started label=%s public=%s", self.conf.controller_id, self.conf.public_address
        )
        self.spawn(self.store.dispatch(self.store.reads))
        self.spawn(self.store.dispatch(self.store.writes))
        self.spawn(self.store.load_and_watch())
        self.spawn(self.cloud.poll_catalogue())
        for peer in self.peers.values():
            self.spawn(peer.send_batches())
        while True:
            for plugin in self.plugins:
                for command in plugin.tick():
                    self.put(command)
            if not self.step_scheduled:
                self.run_step()
            await asyncio.sleep(constants.TICK_S)


def set_up_logging() -> None:
    """Log to standard error at LOG_LEVEL."""
    level = LOG_LEVELS.get(os.environ.get("LOG_LEVEL", "error").lower(), logging.ERROR)
    logging.basicConfig(
        stream=sys.stderr, level=level, format="%(levelname)s %(name)s %(message)s"
    )
    logging.getLogger("asyncio").setLevel(logging.ERROR)


def load_schedules(path: str) -> Plugin:
    """Return the plugin for cron tables and calendars; raises SettingsError."""
    try:
        from oakmux.schedules import plugin  # neither needed nor installed if schedules are off
    except ImportError as error:
        raise settings.SettingsError(
            f"{path}: schedules need {error.name}: install requirements-schedules.txt"
        ) from None
    return plugin.load(path)


def serve(path: str, schedules: str | None = None, spread: str | None = None) -> int:
    """Run a controller with the deployment's settings file; return the exit code.

    The operator's files enable schedules and change options of the scheduler.
    """
    plugins: list[Plugin] = []
    try:
        conf = settings.load(path)
        if spread is not None:
            conf = msgspec.structs.replace(
                conf, scheduling=settings.load_scheduling_options(spread)
            )
        if schedules is not None:
            plugins.append(load_schedules(schedules))
    except settings.SettingsError as error:
        print(f"oakmux: {error}", file=sys.stderr)
        return 2
    set_up_logging()

    async def run() -> None:
        await Service(conf, plugins).run()

    try:
        asyncio.run(run())
    except OSError as error:
        print(f"oakmux: can't open a listener: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 0
    return 0


def main(argv: list[str]) -> int:
    """Parse the command line of the deployment and run a controller; return the exit code."""
    parser = argparse.ArgumentParser(prog="run.py", description="Run an oakmux controller.")
    parser.add_argument("--config", required=True, help="the deployment's settings file (TOML)")
    parser.add_argument(
        "--schedules",
        metavar="FILE",
        help="enable cron tables and calendars, with the operator's settings (INI)",
    )
    parser.add_argument(
        "--spread", metavar="FILE", help="options of the scheduler: the operator's settings (INI)"
    )
    args = parser.parse_args(argv)
    return serve(args.config, args.schedules, args.spread)
