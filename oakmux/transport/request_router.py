"""What others ask of us: users, workers, health checks and peers."""

import logging
from collections.abc import Callable

from oakmux import constants
from oakmux.codec.answers import answer_body
from oakmux.codec.cbor import Malformed, decode, encode
from oakmux.codec.users import CANCEL_SUFFIX, PATH_HEALTH, PATH_JOBS, parse_job, parse_job_id
from oakmux.codec.workers import PATH_HEARTBEAT, parse_heartbeat
from oakmux.core.model import JOB_ID
from oakmux.transport import peer_client
from oakmux.transport.http_server import Request

log = logging.getLogger("oakmux.users")

PATH_STATUS = "/oakmux/status"


class RequestRouter:
    """Turns requests into commands of the core and its answers into responses."""

    def __init__(self, put: Callable[[tuple], bool]) -> None:
        self.put = put
        # Who serves further paths, by how they begin, for subsystems that are switched on.
        self.more: dict[str, Callable[[Request, str], None]] = {}

    def refuse(self, request: Request, status: int, reason: str) -> None:
        """Answer an error at once."""
        request.respond(
            status,
            encode({"error": reason}),
            constants.RETRY_AFTER_S if status == 503 else None,
        )

    def answer(self, request: Request, status: int, answer: tuple) -> None:
        """Answer for the core."""
        request.respond(
            status,
            encode(answer_body(answer)),
            constants.RETRY_AFTER_S if status == 503 else None,
        )

    def _queue(self, request: Request, *command: object) -> None:
        if not self.put(command):
            self.refuse(request, 503, "busy")

    def public(self, request: Request) -> None:
        """Serve the public address."""
        path = request.path.partition("?")[0]
        if path == PATH_HEALTH:
            self._route(request, "GET", lambda: self._queue(request, "health", request))
        elif path == PATH_STATUS:
            self._route(request, "GET", lambda: self._queue(request, "status", request))
        elif path == PATH_HEARTBEAT:
            self._route(request, "POST", lambda: self._report(request))
        elif path == PATH_JOBS:
            self._route(request, "POST", lambda: self._submit(request))
        elif path.startswith(PATH_JOBS + "/"):
            rest = path[len(PATH_JOBS) + 1 :]
            if rest.endswith(CANCEL_SUFFIX):
                self._route(
                    request,
                    "POST",
                    lambda: self._job(request, "cancel", rest.removesuffix(CANCEL_SUFFIX)),
                )
            else:
                self._route(request, "GET", lambda: self._job(request, "query", rest))
        else:
            prefix = next((one for one in self.more if path.startswith(one)), None)
            if prefix is None:
                self.refuse(request, 404, "unknown path")
            else:
                serve, rest = self.more[prefix], path.removeprefix(prefix)
                self._route(request, "POST", lambda: serve(request, rest))

    def _route(self, request: Request, method: str, serve: Callable[[], None]) -> None:
        if request.method != method:
            self.refuse(request, 405, "wrong method")
        elif request.too_large:
            self.refuse(request, 400, "body too large")
        else:
            serve()

    def _job(self, request: Request, kind: str, job_id: str) -> None:
        if "/" in job_id:
            self.refuse(request, 404, "unknown path")
        elif not JOB_ID.match(job_id):
            # Nobody can have submitted such a job.
            self.refuse(request, 400 if kind == "cancel" else 404, "not a job id")
        else:
            self._queue(request, kind, request, job_id)

    def _submit(self, request: Request) -> None:
        try:
            value = decode(request.body)
            job_id = parse_job_id(value)
        except Malformed as error:
            self.refuse(request, 400, str(error))
            return
        spec, reason = None, ""
        try:
            spec = parse_job(value)
        except Malformed as error:
            reason = str(error)
        self._queue(request, "submit", request, job_id, spec, reason)

    def _report(self, request: Request) -> None:
        try:
            heartbeat = parse_heartbeat(decode(request.body))
        except Malformed as error:
            self.refuse(request, 400, str(error))
            return
        self._queue(request, "report", request, heartbeat)

    def internal(self, request: Request) -> None:
        """Serve the address for peers."""
        if request.path != peer_client.PATH:
            self.refuse(request, 404, "unknown path")
            return
        if request.method != "POST":
            self.refuse(request, 405, "wrong method")
            return
        try:
            batch = peer_client.parse_batch(request.body)
        except Malformed as error:
            self.refuse(request, 400, str(error))
            return
        self._queue(request, "peer", request, batch.label, batch.messages, batch.since)
