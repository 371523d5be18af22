"""Wiring: the core, the sockets round it and the timer."""

import argparse
import asyncio
import logging
import os
import random
import sys
import time
from collections.abc import Callable, Coroutine

from oakmux import constants, settings
from oakmux.core.controller import Controller
from oakmux.net.cloud import Cloud
from oakmux.net.http import Request, ServerProtocol
from oakmux.net.peers import Peer
from oakmux.net.state import State
from oakmux.net.users import Front
from oakmux.net.workers import Workers

log = logging.getLogger("oakmux")

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


class Service:
    """One controller process."""

    def __init__(self, conf: settings.Settings) -> None:
        self.conf = conf
        self.loop = asyncio.get_running_loop()
        wall = int(time.time() * 1000) - int(self.loop.time() * 1000)
        self.core = Controller(conf, random.Random(), wall)
        self.commands: list[tuple] = []
        self.scheduled = False
        self.tasks: set[asyncio.Task] = set()
        self.front = Front(self.offer)
        self.state = State(conf, self.put)
        self.cloud = Cloud(conf, self.put)
        self.workers = Workers(self.put)
        self.peers = {m.label: Peer(conf.label, m.label, m.peer_addr, self.put)
                      for m in conf.members}

    def offer(self, command: tuple) -> bool:
        """Queue a command from outside unless too many wait."""
        if len(self.commands) >= constants.MAX_QUEUE:
            return False
        self.put(command)
        return True

    def put(self, command: tuple) -> None:
        """Queue a command; all that come within a moment are worked through together."""
        self.commands.append(command)
        if not self.scheduled:
            self.scheduled = True
            self.loop.call_later(constants.BATCH_S, self.turn)

    def turn(self) -> None:
        """Give the core its batch and carry out the effects."""
        self.scheduled = False
        batch, self.commands = self.commands, []
        for effect in self.core.step(self.loop.time(), batch):
            try:
                self.carry_out(effect)
            except Exception:  # one effect must not end the process
                log.exception("event=effect_failed kind=%s", effect[0])

    def carry_out(self, effect: tuple) -> None:
        """Hand one effect to the part that it is for."""
        kind = effect[0]
        if kind == "answer":
            self.front.answer(*effect[1:])
        elif kind == "send":
            peer = self.peers.get(effect[1])
            if peer is not None:
                peer.send(effect[2])
        elif kind == "lend":
            given = self.state.lend(effect[2])
            if given and effect[1] in self.peers:
                self.peers[effect[1]].send(("lent", given))
        elif kind == "credit":
            self.state.credit(effect[1])
        elif kind == "orders":
            self.spawn(self.workers.orders(*effect[1:]))
        elif kind == "cloud":
            self.spawn(self.cloud.carry_out(*effect[1:]))
        else:
            self.state.submit(*effect)

    def spawn(self, work: Coroutine) -> None:
        """Run something in the background and keep it from being collected."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def listen(self, addr: str, handler: Callable[[Request], None], limit: int,
                     max_body: int) -> None:
        """Serve an address with at most `limit` connections."""
        host, port = settings.split_addr(addr)
        live: set[ServerProtocol] = set()

        def accept() -> ServerProtocol:
            return ServerProtocol(handler, live, limit, max_body)

        await self.loop.create_server(accept, host, port, backlog=256)

    async def run(self) -> None:
        """Serve until killed."""
        most = int(self.conf.facts.resources.fd_limit * (1 - constants.OWN_SOCKETS_SHARE))
        await self.listen(self.conf.public_addr, self.front.public, most, constants.MAX_BODY)
        await self.listen(self.conf.internal_addr, self.front.internal,
                          constants.PEER_CONNECTIONS * 4 * self.conf.size, constants.PEER_BODY)
        log.info("event=started label=%s public=%s", self.conf.label, self.conf.public_addr)
        self.spawn(self.state.pump(self.state.reads))
        self.spawn(self.state.pump(self.state.writes))
        self.spawn(self.state.follow())
        self.spawn(self.cloud.catalogue())
        for peer in self.peers.values():
            self.spawn(peer.pump())
        while True:
            if not self.scheduled:
                self.turn()
            await asyncio.sleep(constants.TICK_S)


def set_up_logging() -> None:
    """Log to standard error at LOG_LEVEL."""
    level = LEVELS.get(os.environ.get("LOG_LEVEL", "error").lower(), logging.ERROR)
    logging.basicConfig(stream=sys.stderr, level=level,
                        format="%(levelname)s %(name)s %(message)s")
    logging.getLogger("asyncio").setLevel(logging.ERROR)


def serve(path: str) -> int:
    """Run a controller with a settings file; return the exit code."""
    try:
        conf = settings.load(path)
    except settings.SettingsError as error:
        print(f"oakmux: {error}", file=sys.stderr)
        return 2
    set_up_logging()

    async def run() -> None:
        await Service(conf).run()

    try:
        asyncio.run(run())
    except OSError as error:
        print(f"oakmux: can't listen: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        return 0
    return 0


def main(argv: list[str]) -> int:
    """Parse the platform's command line."""
    parser = argparse.ArgumentParser(prog="run.py", description="Run an oakmux controller.")
    parser.add_argument("--config", required=True, help="the platform's settings file (TOML)")
    return serve(parser.parse_args(argv).config)
