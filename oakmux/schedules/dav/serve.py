"""CalDAV server: translates client requests to core requests, and their answers back.

Resources:

- /dav/TEAM/ is the team's principal and its calendar home
- /dav/TEAM/CALENDAR/ is a calendar
- /dav/TEAM/CALENDAR/OBJECT is an event or to-do, stored as one schedule entry
"""

import asyncio
import hashlib
import logging
import ssl
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any
from urllib.parse import quote, unquote

import msgspec

from oakmux import constants, settings
from oakmux.codec.cbor import decode
from oakmux.core.messages import Command
from oakmux.schedules import calendars
from oakmux.schedules.dav import xml
from oakmux.schedules.dav.protocol import DavProtocol, DavRequest
from oakmux.schedules.dav.tokens import Tokens, credentials
from oakmux.schedules.dav.xml import CAL, CS, DAV, Multistatus, Prop, element, href
from oakmux.schedules.messages import ServeScheduleRequest
from oakmux.transport.http_server import Request, ServerProtocol

log = logging.getLogger("oakmux.dav")

ROOT = "/dav/"
SYNC_TOKEN_PREFIX = "urn:oakmux:sync:"
# iCalendar properties that a text-match filter can search.
SEARCHABLE_PROPERTIES = ("UID", "SUMMARY")
METHODS = (
    "OPTIONS",
    "PROPFIND",
    "PROPPATCH",
    "REPORT",
    "GET",
    "HEAD",
    "PUT",
    "DELETE",
    "MKCALENDAR",
)
ALLOW_HEADERS = {"DAV": "1, 3, calendar-access", "Allow": ", ".join(METHODS)}
XML_HEADERS = {"Content_Type": 'application/xml; charset="utf-8"'}
CALENDAR_TYPE = "text/calendar; charset=utf-8"


class DavError(Exception):
    """A request that fails: status, body and headers of the answer."""

    def __init__(self, status: int, body: bytes = b"", /, **headers: str) -> None:
        super().__init__(status)
        self.status = status
        self.body = body
        self.headers = headers


class PendingReply:
    """Passes the core's answer to the future that awaits it."""

    def __init__(self, future: asyncio.Future) -> None:
        self.future = future

    def respond(self, status: int, body: bytes, retry_after: int | None = None) -> None:
        """Decode the answer and set the future's result."""
        if not self.future.done():
            self.future.set_result((status, decode(body)))


class CalDavServer:
    """Serves CalDAV clients."""

    def __init__(self, offer: Callable[[Command], bool], tokens: Tokens) -> None:
        self.offer = offer
        self.tokens = tokens
        self.tasks: set[asyncio.Task] = set()
        self.methods: dict[str, Callable] = {
            "PROPFIND": self._propfind,
            "PROPPATCH": self._proppatch,
            "REPORT": self._report,
            "GET": self._get,
            "HEAD": self._get,
            "PUT": self._put,
            "DELETE": self._delete,
            "MKCALENDAR": self._mkcalendar,
        }

    async def listen(self, addr: str, context: ssl.SSLContext | None, limit: int) -> Any:
        """Open the listener and return the server."""
        live: set[ServerProtocol] = set()
        host, port = settings.split_addr(addr)
        server = await asyncio.get_running_loop().create_server(
            lambda: DavProtocol(self.handle, live, limit, constants.DAV_BODY_BYTES),
            host,
            port,
            ssl=context,
        )
        log.info("event=caldav_listening addr=%s tls=%s", addr, context is not None)
        return server

    def handle(self, request: Request) -> None:
        """Serve a request in its own task; answer 503 if too many are in progress."""
        assert isinstance(request, DavRequest)
        if len(self.tasks) >= constants.MAX_WAITING_REQUESTS:
            request.reply(503, Retry_After=str(constants.RETRY_AFTER_S))
            return
        task = asyncio.get_running_loop().create_task(self._serve(request))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _serve(self, request: DavRequest) -> None:
        try:
            async with asyncio.timeout(constants.DAV_TIMEOUT_S):
                await self._route(request)
        except DavError as failed:
            request.reply(failed.status, failed.body, **failed.headers)
        except xml.XmlError as error:
            request.reply(400, str(error).encode(), Content_Type="text/plain")
        except TimeoutError:
            request.reply(503, Retry_After=str(constants.RETRY_AFTER_S))
        except Exception:  # must neither end the process nor expose internals
            log.exception("event=caldav_request_failed method=%s", request.method)
            request.reply(500)

    async def _route(self, request: DavRequest) -> None:
        path = unquote(request.path.partition("?")[0])
        if request.method == "OPTIONS":
            request.reply(200, **ALLOW_HEADERS)
            return
        if path in ("/", "/.well-known/caldav") and request.method != "PROPFIND":
            request.reply(301, Location=ROOT)
            return
        token = credentials(request.headers.get("authorization", ""))
        team = self.tokens.team(token) if token else None
        if team is None:
            raise DavError(401, WWW_Authenticate='Basic realm="oakmux", charset="UTF-8"')
        if request.too_large:
            raise DavError(413)
        segments = [
            segment for segment in path.removeprefix(ROOT.rstrip("/")).split("/") if segment
        ]
        if path in ("/", "/.well-known/caldav"):
            segments = []
        elif not path.startswith(ROOT.rstrip("/")) or len(segments) > 3:
            raise DavError(404)
        if segments and segments[0] != team:
            raise DavError(403)  # does not reveal whether the resource exists
        serve = self.methods.get(request.method)
        if serve is None:
            raise DavError(501, **ALLOW_HEADERS)
        await serve(request, team, segments)

    async def _call(self, operation: str, **args: Any) -> dict:
        """Send a request to the core and return its answer; raises DavError on failure."""
        future = asyncio.get_running_loop().create_future()
        if not self.offer(ServeScheduleRequest(PendingReply(future), operation, args)):
            raise DavError(503, Retry_After=str(constants.RETRY_AFTER_S))
        status, body = await future
        if status in (200, 201):
            return body
        reason = str(body.get("error", ""))
        if status == 503:
            raise DavError(503, Retry_After=str(constants.RETRY_AFTER_S))
        if status == 422:
            raise DavError(
                403, xml.error(CAL + "valid-calendar-object-resource", reason), **XML_HEADERS
            )
        raise DavError(status, reason.encode(), Content_Type="text/plain; charset=utf-8")

    # --- properties ---

    def _team_props(self, team: str) -> dict[str, Prop]:
        home = (href(f"{ROOT}{team}/"),)
        return {
            DAV + "resourcetype": Prop(
                "", (element(DAV + "collection"), element(DAV + "principal"))
            ),
            DAV + "displayname": Prop(team),
            DAV + "current-user-principal": Prop("", home),
            DAV + "principal-URL": Prop("", home),
            DAV + "owner": Prop("", home),
            CAL + "calendar-home-set": Prop("", home),
        }

    def _calendar_props(self, team: str, title: str, revision: int) -> dict[str, Prop]:
        reports = [
            element(DAV + "supported-report", "", element(DAV + "report", "", element(tag)))
            for tag in (CAL + "calendar-query", CAL + "calendar-multiget", DAV + "sync-collection")
        ]
        privileges = [
            element(DAV + "privilege", "", element(DAV + name))
            for name in ("read", "write", "bind", "unbind")
        ]
        return {
            DAV + "resourcetype": Prop(
                "", (element(DAV + "collection"), element(CAL + "calendar"))
            ),
            DAV + "displayname": Prop(title),
            DAV + "current-user-principal": Prop("", (href(f"{ROOT}{team}/"),)),
            DAV + "owner": Prop("", (href(f"{ROOT}{team}/"),)),
            DAV + "sync-token": Prop(f"{SYNC_TOKEN_PREFIX}{revision}"),
            CS + "getctag": Prop(f"{SYNC_TOKEN_PREFIX}{revision}"),
            DAV + "supported-report-set": Prop("", tuple(reports)),
            DAV + "current-user-privilege-set": Prop("", tuple(privileges)),
            CAL + "supported-calendar-component-set": Prop(
                "", tuple(_component_element(name) for name in calendars.COMPONENTS)
            ),
            CAL + "max-resource-size": Prop(str(constants.DAV_BODY_BYTES)),
        }

    def _object_props(self, row: dict, data: bool) -> dict[str, Prop]:
        props = {
            DAV + "resourcetype": Prop(),
            DAV + "getetag": Prop(f'"{row["etag"]}"'),
            DAV + "getcontenttype": Prop(CALENDAR_TYPE),
        }
        if data:
            props[CAL + "calendar-data"] = Prop(row["text"])
        return props

    async def _propfind(self, request: DavRequest, team: str, segments: list[str]) -> None:
        names = None
        if request.body:
            names = xml.requested_properties(xml.read(request.body, DAV + "propfind"))
        include_children = request.headers.get("depth", "0") != "0"
        if request.headers.get("depth", "").lower() == "infinity":
            raise DavError(403, xml.error(DAV + "propfind-finite-depth"), **XML_HEADERS)
        answer = Multistatus()
        if len(segments) <= 1:
            home = f"{ROOT}{team}/"
            if segments:
                answer.add_found(home, self._team_props(team), names)
            else:
                props = {
                    **self._team_props(team),
                    DAV + "resourcetype": Prop("", (element(DAV + "collection"),)),
                    DAV + "displayname": Prop("oakmux"),
                }
                answer.add_found(ROOT, props, names)
                if include_children:
                    answer.add_found(home, self._team_props(team), names)
            if segments and include_children:
                body = await self._call("calendars", team=team)
                for row in body["calendars"]:
                    answer.add_found(
                        f"{home}{quote(row['name'])}/",
                        self._calendar_props(team, row["title"], body["epoch"]),
                        names,
                    )
        else:
            await self._propfind_calendar(answer, names, include_children, segments)
        request.reply(207, answer.body(), **XML_HEADERS)

    async def _propfind_calendar(
        self,
        answer: Multistatus,
        names: list[str] | None,
        include_children: bool,
        segments: list[str],
    ) -> None:
        calendar = "/".join(segments[:2])
        if len(segments) == 3:
            body = await self._call("objects", calendar=calendar, names=[segments[2]])
            row = body["objects"][0]
            if row["etag"] is None:
                raise DavError(404)
            answer.add_found(_path(calendar, segments[2]), self._object_props(row, False), names)
            return
        body = await self._call(
            "objects", calendar=calendar, **({} if include_children else {"names": []})
        )
        answer.add_found(
            _path(calendar), self._calendar_props(segments[0], body["title"], body["epoch"]), names
        )
        for row in body["objects"]:
            answer.add_found(_path(calendar, row["name"]), self._object_props(row, False), names)

    async def _proppatch(self, request: DavRequest, team: str, segments: list[str]) -> None:
        """Change a calendar's title; changes of other properties are refused."""
        root = xml.read(request.body, DAV + "propertyupdate")
        changes = {
            child.tag: child.text or ""
            for block in root
            for props in block
            for child in props
            if isinstance(child.tag, str)
        }
        answer = Multistatus()
        path = (
            _path(*segments[:2])
            if len(segments) < 3
            else _path("/".join(segments[:2]), segments[2])
        )
        if len(segments) == 2 and set(changes) == {DAV + "displayname"}:
            calendar = "/".join(segments)
            body = await self._call("objects", calendar=calendar, names=[])
            await self._call(
                "calendar",
                name=calendar,
                title=changes[DAV + "displayname"],
                zone=body["zone"],
                template=body["template"],
            )
            answer.add_found(_path(calendar), {DAV + "displayname": Prop()}, None)
        else:
            answer.add_refused(path, list(changes))
        request.reply(207, answer.body(), **XML_HEADERS)

    # --- reports ---

    async def _report(self, request: DavRequest, team: str, segments: list[str]) -> None:
        if len(segments) != 2:
            raise DavError(403, xml.error(DAV + "supported-report"), **XML_HEADERS)
        root = xml.read(
            request.body,
            CAL + "calendar-query",
            CAL + "calendar-multiget",
            DAV + "sync-collection",
            CAL + "free-busy-query",
        )
        names = xml.requested_properties(root) or []
        calendar = "/".join(segments)
        answer = Multistatus()
        token = ""
        data = CAL + "calendar-data" in names
        if root.tag == CAL + "calendar-multiget":
            paths = [unquote(child.text or "") for child in root.findall(DAV + "href")]
            if len(paths) > constants.CALENDAR_OBJECTS:
                raise DavError(413)
            wanted = {
                path: path.rpartition("/")[2]
                for path in paths
                if path.rpartition("/")[0] == f"{ROOT}{calendar}"
            }
            body = await self._call(
                "objects", calendar=calendar, text=data, names=list(wanted.values())
            )
            for path in paths:
                if path not in wanted:
                    answer.add_missing(quote(path))
        elif root.tag == CAL + "calendar-query":
            body = await self._call("objects", calendar=calendar, text=data, **_parse_filter(root))
        elif root.tag == DAV + "sync-collection":
            body = await self._changes_since(
                calendar, (root.findtext(DAV + "sync-token") or "").strip()
            )
            if data:
                body = {
                    **await self._call(
                        "objects",
                        calendar=calendar,
                        text=True,
                        names=[row["name"] for row in body["objects"]],
                    ),
                    "epoch": body["epoch"],
                }
            token = f"{SYNC_TOKEN_PREFIX}{body['epoch']}"
        else:
            raise DavError(403, xml.error(DAV + "supported-report"), **XML_HEADERS)
        for row in body["objects"]:
            if row["etag"] is None:
                answer.add_missing(_path(calendar, row["name"]))
            else:
                answer.add_found(
                    _path(calendar, row["name"]), self._object_props(row, data), names
                )
        request.reply(207, answer.body(token), **XML_HEADERS)

    async def _changes_since(self, calendar: str, token: str) -> dict:
        """Return the changes since a sync token, or all objects if there is no token."""
        if not token:
            return await self._call("objects", calendar=calendar)
        stale = DavError(403, xml.error(DAV + "valid-sync-token"), **XML_HEADERS)
        number = token.removeprefix(SYNC_TOKEN_PREFIX)
        if number == token or not number.isdigit() or len(number) > 18:
            raise stale
        try:
            return await self._call("changes", calendar=calendar, since=int(number))
        except DavError as failed:
            raise stale if failed.status == 410 else failed from None

    # --- objects ---

    async def _get(self, request: DavRequest, team: str, segments: list[str]) -> None:
        if len(segments) != 3:
            raise DavError(405, **ALLOW_HEADERS)
        body = await self._call(
            "objects", calendar="/".join(segments[:2]), names=[segments[2]], text=True
        )
        row = body["objects"][0]
        if row["etag"] is None:
            raise DavError(404)
        request.reply(
            200, row["text"].encode(), ETag=f'"{row["etag"]}"', Content_Type=CALENDAR_TYPE
        )

    async def _put(self, request: DavRequest, team: str, segments: list[str]) -> None:
        if len(segments) != 3:
            raise DavError(405, **ALLOW_HEADERS)
        calendar = "/".join(segments[:2])
        stored = await self._call("objects", calendar=calendar, names=[])
        try:
            text = request.body.decode()
            parsed = calendars.parse(text, stored["zone"])
        except UnicodeDecodeError:
            raise DavError(400, b"not UTF-8", Content_Type="text/plain") from None
        except calendars.CalendarError as error:
            if str(error).startswith("not iCalendar"):
                raise DavError(400, str(error).encode(), Content_Type="text/plain") from None
            raise DavError(
                403, xml.error(CAL + "valid-calendar-data", str(error)), **XML_HEADERS
            ) from None
        template = parsed.template or stored["template"]
        if template and "/" not in template:
            template = f"{team}/{template}"
        etag = hashlib.blake2b(request.body, digest_size=12).hexdigest()
        entry = {
            "name": "/".join(segments),
            "rule": msgspec.to_builtins(parsed.rule),
            "template": template,
            "policy": parsed.policy,
            "deadline_s": parsed.deadline_s,
            "paused": parsed.inactive,
            "note": parsed.note,
            "etag": etag,
            "component": parsed.component,
            "uid": parsed.uid,
        }
        match = _expected_etag(request)
        await self._call(
            "put",
            entries=[entry],
            text=text,
            if_match=match,
            if_absent=request.headers.get("if-none-match", "").strip() == "*",
        )
        request.reply(201 if match is None else 204, ETag=f'"{etag}"')

    async def _delete(self, request: DavRequest, team: str, segments: list[str]) -> None:
        if len(segments) == 3:
            await self._call(
                "remove",
                name="/".join(segments),
                if_match=_expected_etag(request),
            )
        elif len(segments) == 2:
            await self._call("calendar-remove", name="/".join(segments))
        else:
            raise DavError(403)
        request.reply(204)

    async def _mkcalendar(self, request: DavRequest, team: str, segments: list[str]) -> None:
        if len(segments) != 2:
            raise DavError(403)
        title = ""
        if request.body:
            root = xml.read(request.body, CAL + "mkcalendar")
            title = root.findtext(f"{DAV}set/{DAV}prop/{DAV}displayname") or ""
        await self._call("calendar", name="/".join(segments), title=title, if_absent=True)
        request.reply(201)


def _component_element(name: str) -> Any:
    comp = element(CAL + "comp")
    comp.set("name", name)
    return comp


def _path(calendar: str = "", name: str = "") -> str:
    tail = quote(name) if name else ""
    return f"{ROOT}{quote(calendar)}/{tail}" if calendar else ROOT


def _expected_etag(request: DavRequest) -> str | None:
    """Return the ETag in the header If-Match, without quotes; None without the header."""
    header = request.headers.get("if-match")
    return None if header is None else header.strip().removeprefix("W/").strip('"')


def _parse_filter(root: Any) -> dict[str, Any]:
    """Return the filter of a calendar-query: component, time range, SEARCHABLE_PROPERTIES texts.

    Other filters are refused, as RFC 4791 requires, so that no client mistakes a partial result
    for a complete one.
    """
    calendar_filter = root.find(f"{CAL}filter/{CAL}comp-filter")
    if calendar_filter is None or calendar_filter.get("name") != "VCALENDAR":
        raise DavError(403, xml.error(CAL + "valid-filter"), **XML_HEADERS)
    filters: dict[str, Any] = {}
    component_filters = list(calendar_filter)
    if len(component_filters) > 1 or any(
        item.tag != CAL + "comp-filter" for item in component_filters
    ):
        raise DavError(403, xml.error(CAL + "supported-filter"), **XML_HEADERS)
    for component_filter in component_filters:
        filters["component"] = component_filter.get("name")
        if not filters["component"]:
            raise DavError(403, xml.error(CAL + "valid-filter"), **XML_HEADERS)
        for condition in component_filter:
            if (
                condition.tag == CAL + "prop-filter"
                and condition.get("name") in SEARCHABLE_PROPERTIES
            ):
                match = condition.find(CAL + "text-match")
                if match is None or len(condition) != 1 or match.get("negate-condition") == "yes":
                    raise DavError(403, xml.error(CAL + "supported-filter"), **XML_HEADERS)
                filters.setdefault("texts", {})[condition.get("name")] = match.text or ""
                continue
            if condition.tag != CAL + "time-range":
                raise DavError(403, xml.error(CAL + "supported-filter"), **XML_HEADERS)
            for side in ("start", "end"):
                if condition.get(side):
                    try:
                        moment = datetime.strptime(condition.get(side), "%Y%m%dT%H%M%SZ")
                    except ValueError:
                        raise DavError(
                            403, xml.error(CAL + "valid-filter"), **XML_HEADERS
                        ) from None
                    filters[side] = int(moment.replace(tzinfo=UTC).timestamp())
    return filters
