"""Direct orders to workers."""

import logging
from collections.abc import Callable

from oakmux import constants
from oakmux.codec.cbor import Malformed, decode, encode
from oakmux.codec.workers import PATH_COMMANDS, commands_body, parse_heartbeat
from oakmux.transport.http_client import Client, NoResponse, RequestNotSent

log = logging.getLogger("oakmux.workers")


class WorkerClient:
    """Sends orders and hands the workers' answers to the core."""

    def __init__(self, put: Callable[[tuple], None]) -> None:
        self.put = put
        self.client = Client(constants.WORKER_CONNECTIONS)

    async def orders(
        self, op: int, addr: str, fencing_token: int, agent_epoch: int, orders: list[dict]
    ) -> None:
        """Send orders: ok, refused, unsent (certainly nothing done) or lost (not known)."""
        outcome, heartbeat = "lost", None
        try:
            body = encode(commands_body(fencing_token, agent_epoch, orders))
            status, answer = await self.client.request(
                addr, "POST", PATH_COMMANDS, body, constants.COMMAND_TIMEOUT_S
            )
            if status in (200, 409):
                heartbeat = parse_heartbeat(decode(answer))
                outcome = "ok" if status == 200 else "refused"
        except (
            RequestNotSent,
            ValueError,
        ):  # ValueError: the worker gave no address to connect to
            outcome = "unsent"
        except (NoResponse, Malformed) as error:
            log.info("event=orders_lost addr=%s why=%s", addr, error)
        except Exception:
            log.exception("event=orders_failed addr=%s", addr)
        self.put(("done", op, outcome, heartbeat))
