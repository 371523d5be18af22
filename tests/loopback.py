"""A process with a simulated deployment in real time, and both listeners on loopback.

Prints one JSON line with its ports and tokens when it is ready.
"""

import asyncio
import json
import socket
import sys
import time
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import msgspec

from oakmux.codec.answers import answer_body
from oakmux.codec.cbor import encode
from oakmux.schedules import plugin
from oakmux.schedules.dav import tokens
from oakmux.transport.http_server import Request, ServerProtocol
from oakmux.transport.request_router import RequestRouter
from tests.timed import ScheduleSimulation

DATA = Path(__file__).parent / "data"


def free_port() -> int:
    """Return an unused port."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def write_settings(folder: Path, port: int, teams: list[str]) -> tuple[str, dict[str, str]]:
    """Write the schedule settings; return the INI file's path and a token for each team."""
    team_tokens = {team: tokens.make(team) for team in teams}
    (folder / "tokens").write_text(
        "# who may write\n" + "\n".join(row for _, row in team_tokens.values()) + "\n"
    )
    for suffix in ("pem", "key"):
        (folder / f"c.{suffix}").write_text((DATA / f"loopback-only.{suffix}").read_text())
    ini = folder / "schedules.ini"
    ini.write_text(
        f"[schedules]\nenabled = yes\n[caldav]\nlisten = 127.0.0.1:{port}\n"
        "certificate = c.pem\nkey = c.key\ntokens = tokens\n"
    )
    return str(ini), {team: token for team, (token, _) in team_tokens.items()}


async def main(folder: str) -> None:
    """Serve until killed."""
    sim = ScheduleSimulation(datetime.now(UTC).isoformat())
    sim.run(12)
    sim.start = int(time.time()) - int(sim.now)
    status, body = sim.put_template()
    assert status == 200, body
    sim.put_template("blue/t")

    def offer(command: Any) -> bool:
        request = command.request

        def answer(status: int, value: Any) -> None:
            if isinstance(request, Request):
                router.answer(request, status, value)
            else:
                request.respond(status, encode(answer_body(value)))

        sim.command("h0", msgspec.structs.replace(command, request=answer))
        return True

    dav, public = free_port(), free_port()
    ini, team_tokens = write_settings(Path(folder), dav, ["red", "blue"])
    router = RequestRouter(offer)
    schedules = plugin.load(ini)
    router.prefix_routes.update(schedules.paths(offer))
    live: set[ServerProtocol] = set()
    await asyncio.get_running_loop().create_server(
        lambda: ServerProtocol(router.handle_public, live, 100), "127.0.0.1", public
    )
    await schedules.start(offer, 400)
    print(json.dumps({"dav": dav, "public": public, "tokens": team_tokens}), flush=True)
    started, sim_started = time.monotonic(), sim.now
    while True:
        sim.run(max(0.0, sim_started + time.monotonic() - started - sim.now))
        await asyncio.sleep(0.01)


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
