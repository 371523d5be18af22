"""CalDAV: what a client asks, turned into requests of the core, and what it is answered.

Resources: /dav/TEAM/ is the team and the home of its calendars, /dav/TEAM/CALENDAR/ a calendar,
/dav/TEAM/CALENDAR/OBJECT an event or to-do: one entry of the schedules.
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
SYNC = "urn:oakmux:sync:"
# Properties whose texts can be looked for.
TEXTS = ("UID", "SUMMARY")
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
ALLOWED = {"DAV": "1, 3, calendar-access", "Allow": ", ".join(METHODS)}
XML = {"Content_Type": 'application/xml; charset="utf-8"'}
CALENDAR_TYPE = "text/calendar; charset=utf-8"


class Failed(Exception):
    """A request that can't be served: status, body, headers."""

    def __init__(self, status: int, body: bytes = b"", /, **headers: str) -> None:
        super().__init__(status)
        self.status = status
        self.body = body
        self.headers = headers


class Reply:
    """Takes the core's answer to a request of ours."""

    def __init__(self, future: asyncio.Future) -> None:
        self.future = future

    def respond(self, status: int, body: bytes, retry_after: int | None = None) -> None:
        """Hand the answer to whoever waits."""
        if not self.future.done():
            self.future.set_result((status, decode(body)))


class Dav:
    """Serves calendars' clients."""

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
        """Open the listener; returns the server."""
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
        """Take one request; it is answered from a task of its own."""
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
        except Failed as failed:
            request.reply(failed.status, failed.body, **failed.headers)
        except xml.BadXml as error:
            request.reply(400, str(error).encode(), Content_Type="text/plain")
        except TimeoutError:
            request.reply(503, Retry_After=str(constants.RETRY_AFTER_S))
        except Exception:  # one request must not end the process, nor show its inside
            log.exception("event=caldav_request_failed method=%s", request.method)
            request.reply(500)

    async def _route(self, request: DavRequest) -> None:
        path = unquote(request.path.partition("?")[0])
        if request.method == "OPTIONS":
            request.reply(200, **ALLOWED)
            return
        if path in ("/", "/.well-known/caldav") and request.method != "PROPFIND":
            request.reply(301, Location=ROOT)
            return
        token = credentials(request.headers.get("authorization", ""))
        team = self.tokens.team(token) if token else None
        if team is None:
            raise Failed(401, WWW_Authenticate='Basic realm="oakmux", charset="UTF-8"')
        if request.too_large:
            raise Failed(413)
        parts = [part for part in path.removeprefix(ROOT.rstrip("/")).split("/") if part]
        if path in ("/", "/.well-known/caldav"):
            parts = []
        elif not path.startswith(ROOT.rstrip("/")) or len(parts) > 3:
            raise Failed(404)
        if parts and parts[0] != team:
            raise Failed(403)  # whether another team has it is not told
        serve = self.methods.get(request.method)
        if serve is None:
            raise Failed(501, **ALLOWED)
        await serve(request, team, parts)

    async def _ask(self, operation: str, **args: Any) -> dict:
        """Ask the core; raises Failed unless it says yes."""
        future = asyncio.get_running_loop().create_future()
        if not self.offer(ServeScheduleRequest(Reply(future), operation, args)):
            raise Failed(503, Retry_After=str(constants.RETRY_AFTER_S))
        status, body = await future
        if status in (200, 201):
            return body
        reason = str(body.get("error", ""))
        if status == 503:
            raise Failed(503, Retry_After=str(constants.RETRY_AFTER_S))
        if status == 422:
            raise Failed(403, xml.error(CAL + "valid-calendar-object-resource", reason), **XML)
        raise Failed(status, reason.encode(), Content_Type="text/plain; charset=utf-8")

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
        rights = [
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
            DAV + "sync-token": Prop(f"{SYNC}{revision}"),
            CS + "getctag": Prop(f"{SYNC}{revision}"),
            DAV + "supported-report-set": Prop("", tuple(reports)),
            DAV + "current-user-privilege-set": Prop("", tuple(rights)),
            CAL + "supported-calendar-component-set": Prop(
                "", tuple(_component(name) for name in calendars.KEPT)
            ),
            CAL + "max-resource-size": Prop(str(constants.DAV_BODY_BYTES)),
        }

    def _object_props(self, row: dict, data: bool) -> dict[str, Prop]:
        found = {
            DAV + "resourcetype": Prop(),
            DAV + "getetag": Prop(f'"{row["etag"]}"'),
            DAV + "getcontenttype": Prop(CALENDAR_TYPE),
        }
        if data:
            found[CAL + "calendar-data"] = Prop(row["text"])
        return found

    async def _propfind(self, request: DavRequest, team: str, parts: list[str]) -> None:
        names = None
        if request.body:
            names = xml.wanted(xml.read(request.body, DAV + "propfind"))
        deep = request.headers.get("depth", "0") != "0"
        if request.headers.get("depth", "").lower() == "infinity":
            raise Failed(403, xml.error(DAV + "propfind-finite-depth"), **XML)
        answer = Multistatus()
        if len(parts) <= 1:
            home = f"{ROOT}{team}/"
            if parts:
                answer.found(home, self._team_props(team), names)
            else:
                props = {
                    **self._team_props(team),
                    DAV + "resourcetype": Prop("", (element(DAV + "collection"),)),
                    DAV + "displayname": Prop("oakmux"),
                }
                answer.found(ROOT, props, names)
                if deep:
                    answer.found(home, self._team_props(team), names)
            if parts and deep:
                body = await self._ask("calendars", team=team)
                for row in body["calendars"]:
                    answer.found(
                        f"{home}{quote(row['name'])}/",
                        self._calendar_props(team, row["title"], body["epoch"]),
                        names,
                    )
        else:
            await self._propfind_calendar(answer, names, deep, parts)
        request.reply(207, answer.body(), **XML)

    async def _propfind_calendar(
        self, answer: Multistatus, names: list[str] | None, deep: bool, parts: list[str]
    ) -> None:
        calendar = "/".join(parts[:2])
        if len(parts) == 3:
            body = await self._ask("objects", calendar=calendar, names=[parts[2]])
            row = body["objects"][0]
            if row["etag"] is None:
                raise Failed(404)
            answer.found(_path(calendar, parts[2]), self._object_props(row, False), names)
            return
        body = await self._ask("objects", calendar=calendar, **({} if deep else {"names": []}))
        answer.found(
            _path(calendar), self._calendar_props(parts[0], body["title"], body["epoch"]), names
        )
        for row in body["objects"]:
            answer.found(_path(calendar, row["name"]), self._object_props(row, False), names)

    async def _proppatch(self, request: DavRequest, team: str, parts: list[str]) -> None:
        """Change a calendar's title; all other properties stand as they are."""
        root = xml.read(request.body, DAV + "propertyupdate")
        found = {
            child.tag: child.text or ""
            for block in root
            for props in block
            for child in props
            if isinstance(child.tag, str)
        }
        answer = Multistatus()
        path = _path(*parts[:2]) if len(parts) < 3 else _path("/".join(parts[:2]), parts[2])
        if len(parts) == 2 and set(found) == {DAV + "displayname"}:
            calendar = "/".join(parts)
            body = await self._ask("objects", calendar=calendar, names=[])
            await self._ask(
                "calendar",
                name=calendar,
                title=found[DAV + "displayname"],
                zone=body["zone"],
                template=body["template"],
            )
            answer.found(_path(calendar), {DAV + "displayname": Prop()}, None)
        else:
            answer.refused(path, list(found))
        request.reply(207, answer.body(), **XML)

    # --- reports ---

    async def _report(self, request: DavRequest, team: str, parts: list[str]) -> None:
        if len(parts) != 2:
            raise Failed(403, xml.error(DAV + "supported-report"), **XML)
        root = xml.read(
            request.body,
            CAL + "calendar-query",
            CAL + "calendar-multiget",
            DAV + "sync-collection",
            CAL + "free-busy-query",
        )
        names = xml.wanted(root) or []
        calendar = "/".join(parts)
        answer = Multistatus()
        token = ""
        data = CAL + "calendar-data" in names
        if root.tag == CAL + "calendar-multiget":
            paths = [unquote(child.text or "") for child in root.findall(DAV + "href")]
            if len(paths) > constants.CALENDAR_OBJECTS:
                raise Failed(413)
            wanted = {
                path: path.rpartition("/")[2]
                for path in paths
                if path.rpartition("/")[0] == f"{ROOT}{calendar}"
            }
            body = await self._ask(
                "objects", calendar=calendar, text=data, names=list(wanted.values())
            )
            for path in paths:
                if path not in wanted:
                    answer.gone(quote(path))
        elif root.tag == CAL + "calendar-query":
            body = await self._ask("objects", calendar=calendar, text=data, **_filter(root))
        elif root.tag == DAV + "sync-collection":
            body = await self._since(calendar, (root.findtext(DAV + "sync-token") or "").strip())
            if data:
                body = {
                    **await self._ask(
                        "objects",
                        calendar=calendar,
                        text=True,
                        names=[row["name"] for row in body["objects"]],
                    ),
                    "epoch": body["epoch"],
                }
            token = f"{SYNC}{body['epoch']}"
        else:
            raise Failed(403, xml.error(DAV + "supported-report"), **XML)
        for row in body["objects"]:
            if row["etag"] is None:
                answer.gone(_path(calendar, row["name"]))
            else:
                answer.found(_path(calendar, row["name"]), self._object_props(row, data), names)
        request.reply(207, answer.body(token), **XML)

    async def _since(self, calendar: str, token: str) -> dict:
        """Return what changed since a token, or all objects if there is none."""
        if not token:
            return await self._ask("objects", calendar=calendar)
        stale = Failed(403, xml.error(DAV + "valid-sync-token"), **XML)
        number = token.removeprefix(SYNC)
        if number == token or not number.isdigit() or len(number) > 18:
            raise stale
        try:
            return await self._ask("changes", calendar=calendar, since=int(number))
        except Failed as failed:
            raise stale if failed.status == 410 else failed from None

    # --- objects ---

    async def _get(self, request: DavRequest, team: str, parts: list[str]) -> None:
        if len(parts) != 3:
            raise Failed(405, **ALLOWED)
        body = await self._ask(
            "objects", calendar="/".join(parts[:2]), names=[parts[2]], text=True
        )
        row = body["objects"][0]
        if row["etag"] is None:
            raise Failed(404)
        request.reply(
            200, row["text"].encode(), ETag=f'"{row["etag"]}"', Content_Type=CALENDAR_TYPE
        )

    async def _put(self, request: DavRequest, team: str, parts: list[str]) -> None:
        if len(parts) != 3:
            raise Failed(405, **ALLOWED)
        calendar = "/".join(parts[:2])
        kept = await self._ask("objects", calendar=calendar, names=[])
        try:
            text = request.body.decode()
            made = calendars.parse(text, kept["zone"])
        except UnicodeDecodeError:
            raise Failed(400, b"not UTF-8", Content_Type="text/plain") from None
        except calendars.BadCalendar as error:
            if str(error).startswith("not iCalendar"):
                raise Failed(400, str(error).encode(), Content_Type="text/plain") from None
            raise Failed(403, xml.error(CAL + "valid-calendar-data", str(error)), **XML) from None
        template = made.template or kept["template"]
        if template and "/" not in template:
            template = f"{team}/{template}"
        etag = hashlib.blake2b(request.body, digest_size=12).hexdigest()
        entry = {
            "name": "/".join(parts),
            "rule": msgspec.to_builtins(made.rule),
            "template": template,
            "policy": made.policy,
            "deadline_s": made.deadline_s,
            "paused": made.off,
            "note": made.note,
            "etag": etag,
            "component": made.component,
            "uid": made.uid,
        }
        match = _tag(request.headers.get("if-match", ""))
        await self._ask(
            "put",
            entries=[entry],
            text=text,
            if_match=match,
            if_absent=request.headers.get("if-none-match", "").strip() == "*",
        )
        request.reply(201 if not match else 204, ETag=f'"{etag}"')

    async def _delete(self, request: DavRequest, team: str, parts: list[str]) -> None:
        if len(parts) == 3:
            await self._ask(
                "remove", name="/".join(parts), if_match=_tag(request.headers.get("if-match", ""))
            )
        elif len(parts) == 2:
            await self._ask("calendar-remove", name="/".join(parts))
        else:
            raise Failed(403)
        request.reply(204)

    async def _mkcalendar(self, request: DavRequest, team: str, parts: list[str]) -> None:
        if len(parts) != 2:
            raise Failed(403)
        title = ""
        if request.body:
            root = xml.read(request.body, CAL + "mkcalendar")
            title = root.findtext(f"{DAV}set/{DAV}prop/{DAV}displayname") or ""
        await self._ask("calendar", name="/".join(parts), title=title, if_absent=True)
        request.reply(201)


def _component(name: str) -> Any:
    made = element(CAL + "comp")
    made.set("name", name)
    return made


def _path(calendar: str = "", name: str = "") -> str:
    tail = quote(name) if name else ""
    return f"{ROOT}{quote(calendar)}/{tail}" if calendar else ROOT


def _tag(header: str) -> str:
    """Return the ETag of a header, without its quotes."""
    return header.strip().removeprefix("W/").strip('"')


def _filter(root: Any) -> dict[str, Any]:
    """Return what a calendar-query asks for: a component, a span of time, texts of TEXTS.

    All else is refused, as the RFC has it, so that no client takes a part for the whole.
    """
    outer = root.find(f"{CAL}filter/{CAL}comp-filter")
    if outer is None or outer.get("name") != "VCALENDAR":
        raise Failed(403, xml.error(CAL + "valid-filter"), **XML)
    found: dict[str, Any] = {}
    inner = list(outer)
    if len(inner) > 1 or any(one.tag != CAL + "comp-filter" for one in inner):
        raise Failed(403, xml.error(CAL + "supported-filter"), **XML)
    for one in inner:
        found["component"] = one.get("name", "")
        for span in one:
            if span.tag == CAL + "prop-filter" and span.get("name") in TEXTS:
                match = span.find(CAL + "text-match")
                if match is None or len(span) != 1 or match.get("negate-condition") == "yes":
                    raise Failed(403, xml.error(CAL + "supported-filter"), **XML)
                found.setdefault("texts", {})[span.get("name")] = match.text or ""
                continue
            if span.tag != CAL + "time-range":
                raise Failed(403, xml.error(CAL + "supported-filter"), **XML)
            for side in ("start", "end"):
                if span.get(side):
                    try:
                        moment = datetime.strptime(span.get(side), "%Y%m%dT%H%M%SZ")
                    except ValueError:
                        raise Failed(403, xml.error(CAL + "valid-filter"), **XML) from None
                    found[side] = int(moment.replace(tzinfo=UTC).timestamp())
    return found
