"""Client of the workers: commands that don't wait for the worker's next heartbeat."""

import logging
from collections.abc import Callable

from oakmux import constants
from oakmux.codec.cbor import MalformedError, decode, encode
from oakmux.codec.workers import PATH_COMMANDS, commands_body, parse_heartbeat
from oakmux.core import messages
from oakmux.core.model import CommandOutcome, Heartbeat
from oakmux.transport.http_client import Client, NoResponseError, RequestNotSentError

log = logging.getLogger("oakmux.workers")

OUTCOME_OF_STATUS = {200: CommandOutcome.OK, 409: CommandOutcome.REFUSED}
"""Outcome by the status of a worker's answer, for statuses that come with a heartbeat."""


class WorkerClient:
    """Sends commands and passes the workers' answers to the core."""

    def __init__(self, put: Callable[[messages.Command], None]) -> None:
        self.put = put
        self.client = Client(constants.WORKER_CONNECTIONS)

    async def send_commands(self, effect: messages.SendWorkerCommands) -> None:
        """Send commands; report the outcome and the worker's heartbeat."""
        addr, outcome, heartbeat = effect.addr, CommandOutcome.LOST, None
        try:
            body = commands_body(effect.fencing_token, effect.agent_epoch, effect.commands)
            outcome, heartbeat = await self._request(addr, encode(body))
        except (RequestNotSentError, ValueError):  # ValueError: the worker's address is malformed
            outcome = CommandOutcome.UNSENT
        except (NoResponseError, MalformedError) as error:
            log.info("event=worker_commands_lost addr=%s why=%s", addr, error)
        except Exception:
            log.exception("event=worker_commands_failed addr=%s", addr)
        self.put(messages.OperationDone(effect.operation, outcome, heartbeat))

    async def _request(self, addr: str, body: bytes) -> tuple[CommandOutcome, Heartbeat | None]:
        status, answer = await self.client.request(
            addr, "POST", PATH_COMMANDS, body, constants.COMMAND_TIMEOUT_S
        )
        outcome = OUTCOME_OF_STATUS.get(status)
        if outcome is None:
            return CommandOutcome.LOST, None
        return outcome, parse_heartbeat(decode(answer))
