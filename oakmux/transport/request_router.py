"""Routes requests of users, workers, health checks and peers to the core."""

import logging
from collections.abc import Callable
from typing import Any, NamedTuple

from oakmux import constants
from oakmux.codec.answers import answer_body
from oakmux.codec.cbor import MalformedError, decode, encode
from oakmux.codec.peers import PATH_PEERS, decode_batch
from oakmux.codec.users import (
    CANCEL_SUFFIX,
    PATH_HEALTH,
    PATH_JOBS,
    error_body,
    parse_job,
    parse_job_id,
)
from oakmux.codec.workers import PATH_HEARTBEAT, parse_heartbeat
from oakmux.core import messages
from oakmux.core.model import JOB_ID
from oakmux.transport.http_server import Request

log = logging.getLogger("oakmux.users")

PATH_STATUS = "/oakmux/status"


class Route(NamedTuple):
    """The method that a path accepts, and the handler of its requests."""

    method: str
    serve: Callable[[Request], None]


class RequestRouter:
    """Turns requests into core commands, and the core's answers into responses."""

    def __init__(self, put: Callable[[messages.Command], bool]) -> None:
        self.put = put
        self._routes = {
            PATH_HEALTH: Route(
                "GET", lambda request: self._queue(request, messages.CheckHealth(request))
            ),
            PATH_STATUS: Route(
                "GET", lambda request: self._queue(request, messages.GetStatus(request))
            ),
            PATH_HEARTBEAT: Route("POST", self._heartbeat),
            PATH_JOBS: Route("POST", self._submit),
        }
        # Handlers of enabled subsystems by path prefix; each gets the path after the prefix.
        self.prefix_routes: dict[str, Callable[[Request, str], None]] = {}

    def refuse(self, request: Request, status: int, reason: str) -> None:
        """Refuse a request without passing it to the core."""
        request.respond(
            status,
            encode(error_body(reason)),
            constants.RETRY_AFTER_S if status == 503 else None,
        )

    def answer(self, request: Request, status: int, answer: tuple[Any, ...]) -> None:
        """Send the core's answer to a request."""
        request.respond(
            status,
            encode(answer_body(answer)),
            constants.RETRY_AFTER_S if status == 503 else None,
        )

    def _queue(self, request: Request, command: messages.Command) -> None:
        if not self.put(command):
            self.refuse(request, 503, "busy")

    def handle_public(self, request: Request) -> None:
        """Handle a request to the public address."""
        route = self._find(request.path.partition("?")[0])
        if route is None:
            self.refuse(request, 404, "unknown path")
        elif request.method != route.method:
            self.refuse(request, 405, "wrong method")
        elif request.too_large:
            self.refuse(request, 400, "body too large")
        else:
            route.serve(request)

    def _find(self, path: str) -> Route | None:
        """Return the route of a path."""
        route = self._routes.get(path)
        if route is not None:
            return route
        if path.startswith(PATH_JOBS + "/"):
            return self._job_route(path.removeprefix(PATH_JOBS + "/"))
        for prefix, serve in self.prefix_routes.items():
            if path.startswith(prefix):
                return self._prefix_route(serve, path.removeprefix(prefix))
        return None

    def _prefix_route(self, serve: Callable[[Request, str], None], subpath: str) -> Route:
        """Return the route of a subsystem's path."""
        return Route("POST", lambda request: serve(request, subpath))

    def _job_route(self, subpath: str) -> Route:
        """Return the route that queries or cancels a job."""
        if subpath.endswith(CANCEL_SUFFIX):
            job_id = subpath.removesuffix(CANCEL_SUFFIX)
            return Route("POST", lambda request: self._cancel(request, job_id))
        return Route("GET", lambda request: self._query(request, subpath))

    def _query(self, request: Request, job_id: str) -> None:
        if self._is_job_id(request, job_id, 404):
            self._queue(request, messages.QueryJob(request, job_id))

    def _cancel(self, request: Request, job_id: str) -> None:
        if self._is_job_id(request, job_id, 400):
            self._queue(request, messages.CancelJob(request, job_id))

    def _is_job_id(self, request: Request, job_id: str, status: int) -> bool:
        """Whether a path ends in a job id; if not, refuses the request with `status` or 404."""
        if "/" in job_id:
            self.refuse(request, 404, "unknown path")
        elif not JOB_ID.match(job_id):
            # No submitted job can have such an id.
            self.refuse(request, status, "not a job id")
        else:
            return True
        return False

    def _submit(self, request: Request) -> None:
        try:
            value = decode(request.body)
            job_id = parse_job_id(value)
        except MalformedError as error:
            self.refuse(request, 400, str(error))
            return
        spec, reason = None, ""
        try:
            spec = parse_job(value)
        except MalformedError as error:
            reason = str(error)
        self._queue(request, messages.SubmitJob(request, job_id, spec, reason))

    def _heartbeat(self, request: Request) -> None:
        try:
            heartbeat = parse_heartbeat(decode(request.body))
        except MalformedError as error:
            self.refuse(request, 400, str(error))
            return
        self._queue(request, messages.ReceiveHeartbeat(request, heartbeat))

    def handle_internal(self, request: Request) -> None:
        """Handle a request to the internal address, which serves peers."""
        if request.path != PATH_PEERS:
            self.refuse(request, 404, "unknown path")
            return
        if request.method != "POST":
            self.refuse(request, 405, "wrong method")
            return
        try:
            batch = decode_batch(request.body)
        except MalformedError as error:
            self.refuse(request, 400, str(error))
            return
        self._queue(
            request,
            messages.ReceivePeerMessages(request, batch.sender, batch.messages, batch.since),
        )
