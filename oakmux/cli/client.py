"""Requests to the controllers; output, errors and exit codes of all commands."""

import json
import sys
import time
from http.client import HTTPConnection, HTTPException
from typing import Any, NoReturn

import click

from oakmux import constants, settings
from oakmux.codec.cbor import MalformedError, decode, encode

# Exit codes: a job or request failed, bad input, no controller answers.
EXIT_FAILED, EXIT_BAD, EXIT_UNREACHABLE = 1, 2, 3

RETRIED_STATUSES = (429, 503, 504)
"""Statuses after which a request is sent to the next controller, or again."""


class CliContext:
    """Options that all commands share."""

    def __init__(self, servers: list[str], as_json: bool) -> None:
        self.servers = servers
        self.as_json = as_json

    def show(self, value: Any, text: str) -> None:
        """Print a result as text, or as JSON with --json."""
        click.echo(json.dumps(value) if self.as_json else text)

    def require_servers(self) -> list[str]:
        """Return the controllers' addresses; exit with a hint if there are none."""
        if not self.servers:
            fail("no controllers: name them with --server or in the INI file", EXIT_BAD)
        return self.servers


def fail(text: str, code: int) -> NoReturn:
    """Print a one-line error and exit with a code."""
    click.echo(f"oakmux: {text}", err=True)
    sys.exit(code)


def send_request(server: str, method: str, path: str, body: Any = None) -> tuple[int, Any]:
    """Make one request; raises OSError or HTTPException if there is no answer."""
    host, port = settings.split_addr(server)
    conn = HTTPConnection(host, port, timeout=constants.CLOUD_TIMEOUT_S)
    try:
        conn.request(method, path, None if body is None else encode(body))
        answer = conn.getresponse()
        data = answer.read(constants.MAX_BODY_BYTES)
        return answer.status, decode(data) if data else None
    finally:
        conn.close()


def request(context: CliContext, method: str, path: str, body: Any = None) -> tuple[int, Any]:
    """Send a request to one controller after another until one can answer."""
    last_error = ""
    for attempt in range(constants.CLI_ROUNDS):
        for server in context.require_servers():
            try:
                status, answer = send_request(server, method, path, body)
            except (OSError, HTTPException, MalformedError) as error:
                last_error = f"{server}: {error or 'no answer'}"
                continue
            if status not in RETRIED_STATUSES:
                return status, answer
            last_error = f"{server}: status {status}"
        if attempt + 1 < constants.CLI_ROUNDS:
            time.sleep(constants.RETRY_AFTER_S)
    fail(f"no controller could answer ({last_error})", EXIT_UNREACHABLE)


def refusal_reason(answer: Any) -> str:
    """Return why a request was refused."""
    return str(answer.get("error", answer)) if isinstance(answer, dict) else "no reason given"
