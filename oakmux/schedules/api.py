"""Requests that change schedules: checked in full, written by compare-and-swap, then answered.

An edit and a firing exclude each other by the mod revisions of entry and shard: a firing is
dispatched either for the old entry before the edit, or for the new one after it.
"""

import logging
from collections.abc import Callable, Collection
from functools import partial
from typing import Any

import msgspec

from oakmux import constants
from oakmux.core import messages
from oakmux.core.context import Context
from oakmux.core.state.formats import value_bytes, value_limit
from oakmux.logs import event
from oakmux.schedules import templates, zones
from oakmux.schedules.firings import Rule, RuleError, cron_rule, mark_at
from oakmux.schedules.messages import ServeScheduleRequest
from oakmux.schedules.queries import RefusedError, ScheduleQueries
from oakmux.schedules.records import (
    CATCH_UPS,
    MANUAL,
    NAME,
    OVERLAPS,
    Calendar,
    Entry,
    Policy,
    Slot,
    Store,
    calendar_key,
    entry_key,
    part_key,
    shard_key,
    template_key,
    value_of,
)
from oakmux.schedules.wall_clock import WallClock

log = logging.getLogger("oakmux.schedules")

# What an entry, a rule or a template can be refused for, beside the desk's own reasons.
UNPROCESSABLE = (RuleError, zones.UnknownZoneError, templates.TemplateError)
# What a request wants written: guards, writes, the answer's status and body.
Change = tuple[dict[str, int], list[tuple], int, dict]


class ScheduleApi:
    """Serves one controller's requests about schedules."""

    def __init__(self, context: Context, store: Store, wall_clock: WallClock) -> None:
        self.context = context
        self.store = store
        self.wall_clock = wall_clock
        self.shows = ScheduleQueries(context, store)
        self.again: list[tuple[float, Callable[[], None]]] = []
        self.operations: dict[str, Callable[[Any, dict], None]] = {
            "template": self._put_template,
            "template-remove": self._remove_template,
            "templates": self.shows.templates,
            "put": self._put,
            "check": self._check,
            "remove": self._remove,
            "list": self.shows.entries,
            "show": self.shows.show,
            "next": self.shows.next,
            "history": self.shows.history,
            "pause": self._pause,
            "resume": self._resume,
            "run-now": self._run_now,
            "calendars": self.shows.calendars,
            "calendar": self._put_calendar,
            "calendar-remove": self._remove_calendar,
            "objects": self.shows.objects,
            "changes": self.shows.changes,
        }

    # --- requests ---

    def request(self, command: ServeScheduleRequest) -> None:
        """Serve a request; answers at once, or when what it writes is written."""
        rid, operation, args = command.request, command.operation, command.args
        context = self.context
        serve = self.operations.get(operation)
        if serve is None or not isinstance(args, dict):
            self._error(rid, RefusedError(404, "unknown operation"))
        elif not context.replica.loaded or context.replica.unknown_format:
            self._error(rid, RefusedError(503, "starting"))
        elif context.now - context.store_seen_at > constants.STORE_STALE_S:
            self._error(rid, RefusedError(503, "no current records"))
        else:
            self._attempt(rid, partial(serve, rid, args))

    def _attempt(self, rid: Any, run: Callable[[], None]) -> None:
        """Go on with a request, or tell why it can't be carried out."""
        try:
            run()
        except RefusedError as error:
            self._error(rid, error)
        except UNPROCESSABLE as error:
            self._error(rid, RefusedError(422, str(error)))
        except (KeyError, TypeError, ValueError, OverflowError, msgspec.ValidationError) as error:
            self._error(rid, RefusedError(400, f"bad request: {error!r}"[: constants.NOTE_CHARS]))

    def _error(self, rid: Any, error: RefusedError) -> None:
        self.context.answer(rid, error.status, ("error", str(error)))

    def tick(self) -> None:
        """Go on with what waits for newer records."""
        due, self.again = (
            [row for row in self.again if row[0] <= self.context.now],
            [row for row in self.again if row[0] > self.context.now],
        )
        for _, run in due:
            try:
                run()
            except Exception:  # one request must not take the others with it
                log.exception("event=request_failed")

    def _write(
        self,
        rid: Any,
        build: Callable[[], Change],
        then: Callable[[int, dict], None] | None = None,
        tries: int = 0,
        said: dict[str, Any] | None = None,
    ) -> None:
        """Write what `build` makes of the records; anew if they turn out to have changed.

        What `build` puts into `said` is logged once it is written.
        """
        self._attempt(rid, partial(self._write_once, rid, build, then, tries, said))

    def _write_once(
        self,
        rid: Any,
        build: Callable[[], Change],
        then: Callable[[int, dict], None] | None,
        tries: int,
        said: dict[str, Any] | None,
    ) -> None:
        guards, writes, status, body = build()
        answer = then or (lambda status, body: self.shows.say(rid, body, status))
        if not writes:
            answer(status, body)
            return

        def done(outcome: int, result: Any) -> None:
            if outcome == 200:
                for write in writes:
                    self.context.replica.apply(
                        write[0], write[1] if len(write) > 1 else None, result[0]
                    )
                if said:
                    event(**said)
                answer(status, body)
            elif (
                outcome == 409
                and tries < constants.REQUEST_TRIES
                and len(self.again) < constants.MAX_WAITING_REQUESTS
            ):
                # The watch brings what was in the way within a moment.
                self.again.append(
                    (
                        self.context.now + constants.TICK_S * (1 + tries),
                        lambda: self._write(rid, build, then, tries + 1, said),
                    )
                )
            elif outcome == 400:
                self._error(rid, RefusedError(413, "too large for the state service"))
            else:
                self._error(rid, RefusedError(503, "not known to be written"))

        self.context.call(done, messages.Transaction, list(guards.items()), writes, 0)

    # --- templates ---

    def _put_template(self, rid: Any, args: dict) -> None:
        name, team = self._named("template", args)
        self._need_types()
        said: dict[str, Any] = {}
        template = templates.from_steps(args["steps"], team)
        templates.check(self.context, template)
        key = template_key(name)

        def build() -> Change:
            if name not in self.store.templates:
                self._bound(team, "templates", self.store.templates, constants.TEAM_TEMPLATES)
            said.update(name="template", template=name, steps=len(template.steps))
            return (
                self.store.guards(key),
                [(key, value_of(template), None)],
                200,
                {"name": name, "steps": len(template.steps)},
            )

        if args.get("dry"):
            self.shows.say(rid, {"name": name, "steps": len(template.steps)})
        else:
            self._write(rid, build, said=said)

    def _need_types(self) -> None:
        if not self.context.types:
            raise RefusedError(503, "machine types are not known yet")

    def _remove_template(self, rid: Any, args: dict) -> None:
        name = str(args["name"])
        key = template_key(name)

        def build() -> Change:
            if name not in self.store.templates:
                raise RefusedError(404, f"no template {name}")
            users = sorted(self.store.users.get(name, ()))
            if users:
                raise RefusedError(
                    409,
                    f"{users[0]} uses it"
                    + (f", and {len(users) - 1} more" if len(users) > 1 else ""),
                )
            return self.store.guards(key), [(key,)], 200, {"removed": name}

        self._write(rid, build)

    # --- entries ---

    def _policy(self, args: dict) -> Policy:
        made = Policy(
            str(args.get("overlap", "skip")),
            str(args.get("catch_up", "all")),
            int(args.get("window_s", Policy().window_s)),
            int(args.get("jitter_s", 0)),
        )
        if made.overlap not in OVERLAPS:
            raise RefusedError(422, f"overlap: one of {', '.join(OVERLAPS)}")
        if made.catch_up not in CATCH_UPS:
            raise RefusedError(422, f"catch_up: one of {', '.join(CATCH_UPS)}")
        if not 0 < made.window_s <= constants.CATCH_UP_WINDOW_MAX_S:
            raise RefusedError(422, f"window_s: 1 to {constants.CATCH_UP_WINDOW_MAX_S}")
        if not 0 <= made.jitter_s <= constants.JITTER_MAX_S:
            raise RefusedError(422, f"jitter_s: 0 to {constants.JITTER_MAX_S}")
        return made

    def _made(self, args: dict) -> Entry:
        """Return an entry from a request, checked in full."""
        name = self.shows.name(args.get("name"))
        rule = args["rule"]
        if isinstance(rule, dict):
            made = cron_rule(str(rule["cron"]), str(rule.get("zone", "UTC")))
        else:
            made = msgspec.convert(rule, Rule)
            if made.kind not in ("cron", "calendar"):
                raise RefusedError(
                    422, f"unknown kind of rule {made.kind[: constants.LOG_TEXT_CHARS]!r}"
                )
        zones.zone(made.zone)
        template = str(args["template"])
        if template not in self.store.templates:
            raise RefusedError(422, f"no template {template[: constants.LOG_TEXT_CHARS]}")
        if template.partition("/")[0] != name.partition("/")[0]:
            raise RefusedError(422, f"{template} is another team's template")
        self._need_types()
        templates.check(self.context, self.store.templates[template])
        until, deadline = int(args.get("until") or 0), args.get("deadline_s")
        if not 0 <= until < 10**11 or (deadline is not None and not 0 < deadline < 1e12):
            raise RefusedError(422, "until or deadline_s: out of range")
        return Entry(
            name,
            made,
            template,
            self._policy(args.get("policy") or {}),
            until,
            bool(args.get("paused")),
            self.wall_clock.now_ms(),
            deadline_s=None if deadline is None else float(deadline),
            note=str(args.get("note", ""))[: constants.NOTE_CHARS],
            etag=str(args.get("etag", ""))[: constants.ETAG_CHARS],
            component=str(args.get("component", ""))[: constants.ETAG_CHARS],
            uid=str(args.get("uid", ""))[: constants.NOTE_CHARS],
        )

    def _now_s(self) -> int:
        """Return the time (s) up to which, by any clock here, firings may not have been made."""
        return (self.wall_clock.now_ms() - int(self.context.facts.skew_ms)) // 1000

    def _fresh_slot(self, entry: Entry, old: Slot | None) -> Slot:
        """Return where firings begin: those before the edit are over or dropped."""
        since = self._now_s()
        rows = old.rows if old is not None else []
        since = max([since, *(row[0] for row in rows if row[1] != MANUAL)])
        return Slot(
            entry.name, mark_at(entry.rule, since), 0 if old is None else old.pending, rows
        )

    def _shard(self, number_of_new: int) -> tuple[int, int]:
        """Return a shard with room, and for how many of the new entries."""
        capacity = max(1, value_limit(self.context.facts.store.strictest) // constants.SLOT_BYTES)
        found: list[int] = []
        number = 0
        while len(found) < constants.SHARD_CHOICES:
            if len(self.store.shards.get(number, ())) < capacity:
                found.append(number)
            number += 1
        chosen = self.context.rng.choice(found)
        return chosen, min(number_of_new, capacity - len(self.store.shards.get(chosen, ())))

    def _check(self, rid: Any, args: dict) -> None:
        """Check entries as `put` does, without storing any; tells each one's next firing."""
        rows = []
        for row in self._few(args["entries"]):
            try:
                entry = self._made(row)
                rows.append(
                    {
                        "name": entry.name,
                        "next": self.shows.firings(entry, mark_at(entry.rule, self._now_s()), 1),
                    }
                )
            except (RefusedError, *UNPROCESSABLE) as error:
                if isinstance(error, RefusedError) and error.status >= 500:
                    raise
                rows.append({"name": str(row.get("name")), "error": str(error)})
        self.shows.say(rid, {"entries": rows})

    def _few(self, rows: list) -> list:
        """Bound what one request computes: the firings of an entry may take milliseconds."""
        if not isinstance(rows, list) or not 0 < len(rows) <= constants.SHOWN_FIRINGS:
            raise RefusedError(400, f"entries: 1 to {constants.SHOWN_FIRINGS} in a request")
        return rows

    def _put(self, rid: Any, args: dict) -> None:
        """Store entries; each is whole or not there, and the answer says which were stored."""
        entries = [self._made(row) for row in self._few(args["entries"])]
        if len({entry.name for entry in entries}) < len(entries):
            raise RefusedError(422, "two entries of one name")
        # An edit that says nothing of a pause leaves it as it is.
        args["silent"] = {row["name"] for row in args["entries"] if "paused" not in row}
        texts = {entries[0].name: str(args["text"])} if "text" in args and entries else {}
        self._put_more(rid, entries, args, texts, [])

    def _put_more(
        self, rid: Any, left: list[Entry], args: dict, texts: dict[str, str], stored: list[str]
    ) -> None:
        if not left:
            self.shows.say(rid, {"stored": stored, "etag": args.get("etag", "")})
            return
        now: list[Entry] = []

        def build() -> Change:
            now.clear()
            old = self.store.entries.get(left[0].name)
            if old is not None:
                now.append(left[0])
                return self._replacing(left[0], old, args, texts.get(left[0].name))
            if args.get("if_match"):
                raise RefusedError(412, "no such entry")
            number, room = self._shard(len(left))
            limits = self.context.facts.store.strictest
            guards = self.store.guards(shard_key(number))
            writes: list[tuple] = []
            slots: dict[str, Slot] = {}
            for entry in left[:room]:
                if entry.name in self.store.entries:
                    break
                self._count(entry, len(now))
                self._one_uid(entry)
                parts = self._parts(entry.name, texts.get(entry.name, ""))
                if len(writes) + 2 + len(parts) > limits.txn_ops:
                    break
                made = msgspec.structs.replace(entry, shard=number, parts=len(parts))
                guards[entry_key(entry.name)] = 0
                guards.update(self.store.guards(template_key(entry.template)))
                writes += [(entry_key(entry.name), self._sized(made), None), *parts]
                slots[entry.name] = self._fresh_slot(entry, None)
                now.append(entry)
            if not now:
                raise RefusedError(413, "too large for the state service")
            return guards, [self.store.shard_write(number, slots), *writes], 201, {}

        def done(_: int, __: dict) -> None:
            for entry in now:
                event(
                    "schedule_entry_stored",
                    entry=entry.name,
                    rule=entry.rule.kind,
                    template=entry.template,
                )
            self._put_more(
                rid, left[len(now) :], args, texts, [*stored, *(entry.name for entry in now)]
            )

        self._write(rid, build, done)

    def _count(self, entry: Entry, more: int) -> None:
        entries, calendar = self.store.entries, entry.name.rpartition("/")[0]
        self._bound(entry.team, "entries", entries, constants.TEAM_ENTRIES, more)
        if calendar != entry.team:
            self._bound(calendar, "entries", entries, constants.CALENDAR_OBJECTS, more)

    def _bound(
        self, owner: str, what: str, names: Collection[str], most: int, more: int = 0
    ) -> None:
        """Refuse one more of what a team or a calendar may have so many of."""
        count = sum(1 for name in names if name.startswith(owner + "/")) + more
        if count >= most:
            raise RefusedError(422, f"{owner} has {count} {what}: no more are kept")

    def _named(self, what: str, args: dict) -> tuple[str, str]:
        """Return the name of a template or a calendar, TEAM/NAME, and its team."""
        name = str(args["name"])
        team, _, rest = name.partition("/")
        self.shows.team(team)
        if not NAME.match(rest):
            raise RefusedError(422, f"a {what}'s name is TEAM/NAME")
        return name, team

    def _one_uid(self, entry: Entry) -> None:
        """Refuse a second object of a calendar with a UID that it has (RFC 4791, 5.3.2.1)."""
        if not entry.uid:
            return
        calendar = entry.name.rpartition("/")[0] + "/"
        for name, other in self.store.entries.items():
            if other.uid == entry.uid and name != entry.name and name.startswith(calendar):
                raise RefusedError(422, f"{name} has this UID")

    def _sized(self, entry: Entry) -> Any:
        value = value_of(entry)
        size, most = value_bytes(value), value_limit(self.context.facts.store.strictest)
        if size > most:
            raise RefusedError(413, f"{entry.name}: {size} bytes: a record holds {most}")
        return value

    def _parts(self, name: str, text: str) -> list[tuple]:
        """Return the writes of a calendar object's text, cut so that each fits a record."""
        limits = self.context.facts.store.strictest
        most = value_limit(limits)
        parts: list[tuple] = []
        rest = text
        while rest:
            cut = min(len(rest), most - 2)
            while value_bytes(rest[:cut]) > most:
                cut = cut * 9 // 10
            parts.append((part_key(name, len(parts)), rest[:cut], None))
            rest = rest[cut:]
            if len(parts) + 2 > limits.txn_ops:
                raise RefusedError(413, "too large for the state service")
        return parts

    def _replacing(self, entry: Entry, old: Entry, args: dict, text: str | None) -> Change:
        """Change an entry. An edit that changes no time keeps the place among its firings."""
        store, key = self.store, entry_key(entry.name)
        wanted = args.get("if_match")
        if args.get("if_absent") or (wanted and wanted not in (old.etag, "*")):
            raise RefusedError(412, f"{entry.name} has changed" if wanted else "it exists")
        self._one_uid(entry)
        if entry.name in args["silent"]:
            entry = msgspec.structs.replace(entry, paused=old.paused)
        parts = self._parts(entry.name, text or "")
        made = msgspec.structs.replace(entry, born=old.born, shard=old.shard, parts=len(parts))
        if made == old and not parts:
            return {}, [], 200, {}
        guards = store.guards(key, template_key(entry.template))
        writes = [
            (key, self._sized(made), None),
            *parts,
            *((part_key(entry.name, n),) for n in range(len(parts), old.parts)),
        ]
        if (made.rule, made.until) != (old.rule, old.until) or (old.paused and not made.paused):
            slot = self._fresh_slot(made, store.slot(entry.name))
            self._with_slot(guards, writes, old.shard, entry.name, slot)
        return guards, writes, 200, {}

    def _with_slot(
        self,
        guards: dict[str, int],
        writes: list[tuple],
        number: int,
        name: str,
        slot: Slot | None,
    ) -> None:
        """Add to a change that an entry's slot becomes another, or goes."""
        guards.update(self.store.guards(shard_key(number)))
        writes.append(
            self.store.shard_write(
                number, {} if slot is None else {name: slot}, name if slot is None else ""
            )
        )

    def _remove(self, rid: Any, args: dict) -> None:
        said: dict[str, Any] = {}

        def build() -> Change:
            entry, _ = self.shows.entry(args)
            wanted = args.get("if_match")
            if wanted and wanted not in (entry.etag, "*"):
                raise RefusedError(412, f"{entry.name} has changed")
            key = entry_key(entry.name)
            guards = self.store.guards(key)
            writes: list[tuple] = [
                (key,),
                *((part_key(entry.name, n),) for n in range(entry.parts)),
            ]
            self._with_slot(guards, writes, entry.shard, entry.name, None)
            said.update(name="entry_removed", entry=entry.name)
            return guards, writes, 200, {"removed": entry.name}

        self._write(rid, build, said=said)

    def _pause(self, rid: Any, args: dict) -> None:
        self._paused(rid, args, True)

    def _resume(self, rid: Any, args: dict) -> None:
        self._paused(rid, args, False)

    def _paused(self, rid: Any, args: dict, paused: bool) -> None:
        """Pause or resume; firings of a pause are not made up for."""
        said: dict[str, Any] = {}

        def build() -> Change:
            entry, slot = self.shows.entry(args)
            body = {"name": entry.name, "paused": paused}
            if entry.paused == paused:
                return {}, [], 200, body
            key = entry_key(entry.name)
            made = msgspec.structs.replace(entry, paused=paused)
            guards, writes = self.store.guards(key), [(key, value_of(made), None)]
            if not paused:
                self._with_slot(
                    guards, writes, entry.shard, entry.name, self._fresh_slot(made, slot)
                )
            said.update(name="entry_paused" if paused else "entry_resumed", entry=entry.name)
            return guards, writes, 200, body

        self._write(rid, build, said=said)

    def _run_now(self, rid: Any, args: dict) -> None:
        """Dispatch one firing by hand. Asked again with the same word, the same jobs are told."""
        said: dict[str, Any] = {}
        word = str(args["word"])
        if not NAME.match(word) or len(word) > constants.MANUAL_FIRING_KEY_CHARS:
            raise RefusedError(400, "word: up to 16 letters and digits")

        def build() -> Change:
            entry, slot = self.shows.entry(args)
            template = self.store.templates.get(entry.template)
            refusal = templates.refusal(self.context, template)
            if refusal is not None or template is None:
                raise RefusedError(422, refusal or "no template")
            firing = f"hand:{word}"
            now_ms = self.wall_clock.now_ms()
            ids, guards, writes = templates.submission(entry, template, firing, now_ms)
            body = {"name": entry.name, "jobs": ids}
            if ids[0] in self.context.replica.jobs:
                return {}, [], 200, body
            if templates.early(self.context, template):
                raise RefusedError(503, "an upgrade is under way: waits_on can't be recorded yet")
            guards.update(self.store.guards(entry_key(entry.name), template_key(entry.template)))
            self._with_slot(
                guards,
                writes,
                entry.shard,
                entry.name,
                slot.noted(slot.mark, slot.pending, now_ms // 1000, MANUAL, note=firing),
            )
            said.update(
                name="turn", entry=entry.name, firing=firing, jobs=",".join(ids), by="hand"
            )
            return guards, writes, 201, body

        self._write(rid, build, said=said)

    # --- calendars ---

    def _put_calendar(self, rid: Any, args: dict) -> None:
        name, team = self._named("calendar", args)
        made = Calendar(
            str(args.get("title") or name.partition("/")[2])[: constants.NOTE_CHARS],
            str(args.get("zone") or "UTC"),
            str(args.get("template") or ""),
        )
        zones.zone(made.zone)
        if made.template and made.template not in self.store.templates:
            raise RefusedError(422, f"no template {made.template}")
        key = calendar_key(name)

        def build() -> Change:
            if args.get("if_absent") and name in self.store.calendars:
                raise RefusedError(405, "it exists")
            if name not in self.store.calendars:
                self._bound(team, "calendars", self.store.calendars, constants.TEAM_CALENDARS)
            return (self.store.guards(key), [(key, value_of(made), None)], 201, {"name": name})

        self._write(rid, build)

    def _remove_calendar(self, rid: Any, args: dict) -> None:
        name = str(args["name"])
        key = calendar_key(name)

        def build() -> Change:
            if name not in self.store.calendars:
                raise RefusedError(404, f"no calendar {name}")
            if any(entry.startswith(name + "/") for entry in self.store.entries):
                raise RefusedError(409, "it has entries: remove them first")
            return self.store.guards(key), [(key,)], 200, {"removed": name}

        self._write(rid, build)
