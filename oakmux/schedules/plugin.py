"""Connects schedules to the process: settings, requests, wall clock and CalDAV listener."""

import configparser
import ssl
import time
from collections.abc import Callable, Sequence
from pathlib import Path

import msgspec

from oakmux import constants, settings
from oakmux.codec.cbor import MalformedError, decode, encode
from oakmux.core.context import Context
from oakmux.core.controller import Subsystem
from oakmux.core.messages import Command
from oakmux.schedules import zones
from oakmux.schedules.dav import tokens
from oakmux.schedules.messages import ServeScheduleRequest, SetTimeOfDay
from oakmux.schedules.subsystem import SchedulesSubsystem
from oakmux.transport.http_server import Request

PATH = "/oakmux/schedules/"
SECTIONS = {
    "schedules": {"enabled"},
    "caldav": {"listen", "certificate", "key", "tokens", "plain"},
}


class CalDavOptions(msgspec.Struct, frozen=True):
    """The CalDAV listener's address, tokens and TLS context (None: plain)."""

    listen: str
    tokens: tokens.Tokens
    context: ssl.SSLContext | None


class Plugin:
    """The part of schedules outside the core."""

    subsystems: Sequence[Callable[[Context], Subsystem]] = (SchedulesSubsystem,)

    def __init__(self, caldav: CalDavOptions | None) -> None:
        self.caldav = caldav

    def paths(self, offer: Callable[[Command], bool]) -> dict[str, Callable[[Request, str], None]]:
        """Return the handler of the command line's requests at the public address."""

        def serve(request: Request, operation: str) -> None:
            try:
                args = decode(request.body) if request.body else {}
            except MalformedError as error:
                request.respond(400, encode({"error": str(error)}))
                return
            if not offer(ServeScheduleRequest(request, operation, args)):
                request.respond(503, encode({"error": "busy"}), constants.RETRY_AFTER_S)

        return {PATH: serve}

    async def start(self, offer: Callable[[Command], bool], max_connections: int) -> None:
        """Open the listener for calendar clients, if it is configured."""
        if self.caldav is not None:
            from oakmux.schedules.dav.serve import CalDavServer  # needs icalendar, defusedxml

            await CalDavServer(offer, self.caldav.tokens).listen(
                self.caldav.listen, self.caldav.context, max(1, max_connections // 4)
            )

    def tick(self) -> list[Command]:
        """Return the command that gives the core the time of day."""
        return [SetTimeOfDay(int(time.time() * 1000))]


def load(path: str) -> Plugin:
    """Read the operator's settings for schedules (INI); raises a one-line SettingsError."""
    parser = settings.read_ini(path, SECTIONS)
    try:
        if not parser.getboolean("schedules", "enabled", fallback=True):
            raise settings.SettingsError(
                f"{path}: [schedules] enabled: to switch schedules off, start without this file"
            )
        plain = parser.getboolean("caldav", "plain", fallback=False)
    except ValueError as error:
        raise settings.SettingsError(f"{path}: {error}") from None
    zones.zone("UTC")
    if not parser.has_section("caldav"):
        return Plugin(None)
    section = parser["caldav"]
    for name in ("listen", "tokens"):
        if not section.get(name):
            raise settings.SettingsError(f"{path}: [caldav] {name}: is missing")
    try:
        settings.split_addr(section["listen"])
        accepted_tokens = tokens.load(str(Path(path).parent / section["tokens"]))
        context = None if plain else _tls_context(Path(path).parent, section)
    except (ValueError, tokens.TokenFileError) as error:
        raise settings.SettingsError(f"{path}: [caldav] {error}") from None
    return Plugin(CalDavOptions(section["listen"], accepted_tokens, context))


def _tls_context(folder: Path, section: configparser.SectionProxy) -> ssl.SSLContext:
    for name in ("certificate", "key"):
        if not section.get(name):
            raise ValueError(
                f"{name}: is missing; for a listener without TLS, behind a TLS proxy, "
                "set plain = yes"
            )
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(folder / section["certificate"], folder / section["key"])
    except (OSError, ssl.SSLError) as error:
        raise ValueError(f"certificate or key: {error}") from None
    return context
