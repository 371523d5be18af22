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
from oakmux.core.api.answers import Answers
from oakmux.core.api.revision_waits import CurrentRevision, RevisionWaits
from oakmux.core.context import Context
from oakmux.core.state.formats import value_bytes, value_limit
from oakmux.core.state.transaction_limits import TransactionLimits
from oakmux.core.state.transactions import Transaction, as_transaction
from oakmux.logs import event
from oakmux.schedules import templates, zones
from oakmux.schedules.entry_requests import (
    EntryRequest,
    parse_entry_request,
    parse_policy,
    parse_rule,
)
from oakmux.schedules.firings import RuleError, mark_at
from oakmux.schedules.messages import ServeScheduleRequest
from oakmux.schedules.queries import RefusedError, ScheduleQueries, optional_text
from oakmux.schedules.records import (
    MANUAL,
    NAME_PATTERN,
    Calendar,
    Entry,
    ScheduleStore,
    Slot,
    calendar_key,
    encode_record,
    entry_key,
    part_key,
    shard_key,
    template_key,
)
from oakmux.schedules.wall_clock import WallClock

log = logging.getLogger("oakmux.schedules")

# Errors of invalid rules, zones and templates, answered with 422.
UNPROCESSABLE = (RuleError, zones.UnknownZoneError, templates.TemplateError)
# A change that a request makes: guards, writes, the answer's status and body.
Change = tuple[dict[str, int], list[tuple], int, dict]


class ScheduleApi:
    """Serves one controller's requests about schedules."""

    def __init__(self, context: Context, store: ScheduleStore, wall_clock: WallClock) -> None:
        self.context = context
        self.store = store
        self.wall_clock = wall_clock
        self.queries = ScheduleQueries(context, store)
        self.limits = TransactionLimits(context.facts.store.strictest, lambda: context.now)
        self.waits = RevisionWaits(context, Answers(context))
        self.current = CurrentRevision(context, Answers(context), self.waits)
        self.retries: list[tuple[float, Callable[[], None]]] = []
        self.operations: dict[str, Callable[[Any, dict], None]] = {
            "template": self._put_template,
            "template-remove": self._remove_template,
            "templates": self.queries.templates,
            "put": self._put,
            "check": self._check,
            "remove": self._remove,
            "list": self.queries.entries,
            "show": self.queries.show,
            "next": self.queries.next,
            "history": self.queries.history,
            "pause": self._pause,
            "resume": self._resume,
            "run-now": self._run_now,
            "calendars": self.queries.calendars,
            "calendar": self._put_calendar,
            "calendar-remove": self._remove_calendar,
            "objects": self.queries.objects,
            "changes": self.queries.changes,
        }

    # --- requests ---

    def handle_request(self, command: ServeScheduleRequest) -> None:
        """Serve a request from current records; the answer follows the write if there is one."""
        request, operation, args = command.request, command.operation, command.args
        context = self.context
        serve = self.operations.get(operation)
        if serve is None or not isinstance(args, dict):
            self._error(request, RefusedError(404, "unknown operation"))
        elif not context.replica.loaded or context.replica.unknown_format:
            self._error(request, RefusedError(503, "starting"))
        elif context.now - context.store_seen_at > constants.STORE_STALE_S:
            self._error(request, RefusedError(503, "no current records"))
        else:
            action = partial(serve, request, args)
            self.current.wait(request, lambda: self._run(partial(self._attempt, request, action)))

    def _attempt(self, request: Any, action: Callable[[], None]) -> None:
        """Continue a request, or answer why it can't be carried out."""
        try:
            action()
        except RefusedError as error:
            self._error(request, error)
        except UNPROCESSABLE as error:
            self._error(request, RefusedError(422, str(error)))
        except (KeyError, TypeError, ValueError, OverflowError, msgspec.ValidationError) as error:
            self._error(
                request, RefusedError(400, f"bad request: {error!r}"[: constants.NOTE_CHARS])
            )

    def _error(self, request: Any, error: RefusedError) -> None:
        self.context.answer(request, error.status, ("error", str(error)))

    def tick(self) -> None:
        """Continue requests that wait for newer records."""
        self.waits.resume_due()
        due, self.retries = (
            [row for row in self.retries if row[0] <= self.context.now],
            [row for row in self.retries if row[0] > self.context.now],
        )
        for _, run in due:
            self._run(run)

    @staticmethod
    def _run(run: Callable[[], None]) -> None:
        try:
            run()
        except Exception:  # one request must not stop the others
            log.exception("event=request_failed")

    def _write(
        self,
        request: Any,
        build: Callable[[], Change],
        on_success: Callable[[int, dict], None] | None = None,
        tries: int = 0,
        log_fields: dict[str, Any] | None = None,
    ) -> None:
        """Write the change that `build` returns; built again if the records have changed.

        `build` may fill `log_fields`, which are logged after the write.
        """
        self._attempt(
            request, partial(self._write_once, request, build, on_success, tries, log_fields)
        )

    def _write_once(
        self,
        request: Any,
        build: Callable[[], Change],
        on_success: Callable[[int, dict], None] | None,
        tries: int,
        log_fields: dict[str, Any] | None,
    ) -> None:
        guards, writes, status, body = build()
        answer = on_success or (lambda status, body: self.queries.answer(request, body, status))
        if not writes:
            answer(status, body)
            return
        if not self.limits.allow(as_transaction(guards.items(), writes).size):
            raise RefusedError(413, "too large for the state service")

        def on_written(outcome: int, result: Any) -> None:
            if outcome == 200:
                for write in writes:
                    self.context.replica.apply(
                        write[0], write[1] if len(write) > 1 else None, result[0]
                    )
                if log_fields:
                    event(**log_fields)
                answer(status, body)
            elif (
                outcome == 409
                and tries < constants.REQUEST_TRIES
                and len(self.retries) < constants.MAX_WAITING_REQUESTS
            ):
                # The watch brings the conflicting change within a moment.
                self.retries.append(
                    (
                        self.context.now + constants.TICK_S * (1 + tries),
                        lambda: self._write(request, build, on_success, tries + 1, log_fields),
                    )
                )
            elif outcome == 400:
                self._error(request, RefusedError(413, "too large for the state service"))
            else:
                self._error(request, RefusedError(503, "not known to be written"))

        self.context.call(on_written, messages.Transaction, list(guards.items()), writes, 0)

    # --- templates ---

    def _put_template(self, request: Any, args: dict) -> None:
        name, team = self._parse_name("template", args)
        self._require_machine_types()
        log_fields: dict[str, Any] = {}
        template = templates.parse_steps(args["steps"], team)
        templates.check(self.context, template)
        key = template_key(name)

        def build() -> Change:
            if name not in self.store.templates:
                self._check_limit(
                    team, "templates", self.store.templates, constants.TEAM_TEMPLATES
                )
            log_fields.update(name="template", template=name, steps=len(template.steps))
            return (
                self.store.guards(key),
                [(key, encode_record(template), None)],
                200,
                {"name": name, "steps": len(template.steps)},
            )

        if args.get("dry"):
            self.queries.answer(request, {"name": name, "steps": len(template.steps)})
        else:
            self._write(request, build, log_fields=log_fields)

    def _require_machine_types(self) -> None:
        if not self.context.types:
            raise RefusedError(503, "machine types are not known yet")

    def _remove_template(self, request: Any, args: dict) -> None:
        name = str(args["name"])
        key = template_key(name)

        def build() -> Change:
            if name not in self.store.templates:
                raise RefusedError(404, f"no template {name}")
            users = sorted(self.store.template_users.get(name, ()))
            if users:
                raise RefusedError(
                    409,
                    f"{users[0]} uses it"
                    + (f", and {len(users) - 1} more" if len(users) > 1 else ""),
                )
            return self.store.guards(key), [(key,)], 200, {"removed": name}

        self._write(request, build)

    # --- entries ---

    def _parse_entry(self, request: EntryRequest) -> Entry:
        """Return an entry from a request, checked in full."""
        name = self.queries.check_name(request.name)
        rule = parse_rule(request.rule)
        template = request.template
        if template not in self.store.templates:
            raise RefusedError(422, f"no template {template[: constants.LOG_TEXT_CHARS]}")
        if template.partition("/")[0] != name.partition("/")[0]:
            raise RefusedError(422, f"{template} is another team's template")
        self._require_machine_types()
        templates.check(self.context, self.store.templates[template])
        return Entry(
            name,
            rule,
            template,
            parse_policy(request.policy),
            request.until or 0,
            bool(request.paused),
            self.wall_clock.now_ms(),
            deadline_s=request.deadline_s,
            note=(request.note or "")[: constants.NOTE_CHARS],
            etag=(request.etag or "")[: constants.ETAG_CHARS],
            component=(request.component or "")[: constants.ETAG_CHARS],
            uid=(request.uid or "")[: constants.NOTE_CHARS],
        )

    def _earliest_now_s(self) -> int:
        """Return the time (s) less the largest skew: later firings may not be dispatched yet."""
        return (self.wall_clock.now_ms() - int(self.context.facts.skew_ms)) // 1000

    def _fresh_slot(self, entry: Entry, old: Slot | None) -> Slot:
        """Return a new or edited entry's slot: firings before the edit are over or dropped."""
        decided_until_s = self._earliest_now_s()
        decisions = old.decisions if old is not None else []
        decided_until_s = max(
            [decided_until_s, *(decision[0] for decision in decisions if decision[1] != MANUAL)]
        )
        return Slot(
            entry.name,
            mark_at(entry.rule, decided_until_s),
            0 if old is None else old.pending,
            decisions,
        )

    def _choose_shard(self, new_entries: int) -> tuple[int, int]:
        """Return a shard with room, and how many of the new entries it has room for."""
        capacity = max(1, value_limit(self.context.facts.store.strictest) // constants.SLOT_BYTES)
        candidates: list[int] = []
        number = 0
        while len(candidates) < constants.SHARD_CHOICES:
            if len(self.store.shards.get(number, ())) < capacity:
                candidates.append(number)
            number += 1
        shard = self.context.rng.choice(candidates)
        return shard, min(new_entries, capacity - len(self.store.shards.get(shard, ())))

    def _check(self, request: Any, args: dict) -> None:
        """Check entries as `put` does, without storing any; answer with each next firing."""
        results = []
        for entry_args in self._check_entry_count(args["entries"]):
            try:
                entry = self._parse_entry(parse_entry_request(entry_args))
                results.append(
                    {
                        "name": entry.name,
                        "next": self.queries.firings(
                            entry, mark_at(entry.rule, self._earliest_now_s()), 1
                        ),
                    }
                )
            except (RefusedError, *UNPROCESSABLE) as error:
                if isinstance(error, RefusedError) and error.status >= 500:
                    raise
                results.append({"name": str(entry_args.get("name")), "error": str(error)})
        self.queries.answer(request, {"entries": results})

    def _check_entry_count(self, rows: list) -> list:
        """Limit the entries of one request: computing an entry's firings may take milliseconds."""
        if not isinstance(rows, list) or not 0 < len(rows) <= constants.SHOWN_FIRINGS:
            raise RefusedError(400, f"entries: 1 to {constants.SHOWN_FIRINGS} in a request")
        return rows

    def _put(self, request: Any, args: dict) -> None:
        """Store entries, each completely or not at all; the answer lists those stored."""
        requests = [parse_entry_request(row) for row in self._check_entry_count(args["entries"])]
        entries = [self._parse_entry(row) for row in requests]
        if len({entry.name for entry in entries}) < len(entries):
            raise RefusedError(422, "two entries of one name")
        # An edit without `paused` keeps the entry's pause as it is.
        args["silent"] = {row.name for row in requests if row.paused is None}
        texts = {entries[0].name: str(args["text"])} if "text" in args and entries else {}
        self._put_remaining(request, entries, args, texts, [])

    def _put_remaining(
        self,
        request: Any,
        remaining: list[Entry],
        args: dict,
        texts: dict[str, str],
        stored: list[str],
    ) -> None:
        if not remaining:
            self.queries.answer(request, {"stored": stored, "etag": args.get("etag", "")})
            return
        batch: list[Entry] = []

        def build() -> Change:
            batch.clear()
            old = self.store.entries.get(remaining[0].name)
            if old is not None:
                batch.append(remaining[0])
                return self._replace_entry(remaining[0], old, args, texts.get(remaining[0].name))
            if _expected_etag(args) is not None:
                raise RefusedError(412, "no such entry")
            number, room = self._choose_shard(len(remaining))
            contents = Transaction()
            slots: dict[str, Slot] = {}
            for entry in remaining[:room]:
                if entry.name in self.store.entries:
                    break
                self._check_entry_limits(entry, len(batch))
                self._check_unique_uid(entry)
                addition = self._new_entry(entry, number, texts.get(entry.name, ""))
                slot = self._fresh_slot(entry, None)
                shard = self._shard_change(number, {**slots, entry.name: slot})
                shard.merge(addition)
                if not self.limits.allow(contents.size_with(shard)):
                    break
                contents.merge(addition)
                slots[entry.name] = slot
                batch.append(entry)
            if not batch:
                raise RefusedError(413, "too large for the state service")
            change = self._shard_change(number, slots)
            change.merge(contents)
            return change.conditions, list(change.writes), 201, {}

        def on_written(_: int, __: dict) -> None:
            for entry in batch:
                event(
                    "schedule_entry_stored",
                    entry=entry.name,
                    rule=entry.rule.kind,
                    template=entry.template,
                )
            self._put_remaining(
                request,
                remaining[len(batch) :],
                args,
                texts,
                [*stored, *(entry.name for entry in batch)],
            )

        self._write(request, build, on_written)

    def _new_entry(self, entry: Entry, shard: int, text: str) -> Transaction:
        """Return the writes of a new entry and its text, without the record of its shard."""
        parts = self._text_part_writes(entry.name, text)
        record = msgspec.structs.replace(entry, shard=shard, text_parts=len(parts))
        guards = {entry_key(entry.name): 0, **self.store.guards(template_key(entry.template))}
        writes = [(entry_key(entry.name), self._encode_entry(record), None), *parts]
        return as_transaction(guards.items(), writes)

    def _shard_change(self, number: int, slots: dict[str, Slot]) -> Transaction:
        """Return the write of a shard's record with some slots replaced."""
        guards = self.store.guards(shard_key(number))
        return as_transaction(guards.items(), [self.store.shard_write(number, slots)])

    def _check_entry_limits(self, entry: Entry, added: int) -> None:
        entries, calendar = self.store.entries, entry.name.rpartition("/")[0]
        self._check_limit(entry.team, "entries", entries, constants.TEAM_ENTRIES, added)
        if calendar != entry.team:
            self._check_limit(calendar, "entries", entries, constants.CALENDAR_OBJECTS, added)

    def _check_limit(
        self, owner: str, kind: str, names: Collection[str], limit: int, added: int = 0
    ) -> None:
        """Refuse to exceed the limit of entries, templates or calendars of a team or calendar."""
        count = sum(1 for name in names if name.startswith(owner + "/")) + added
        if count >= limit:
            raise RefusedError(422, f"{owner} has {count} {kind}: no more are kept")

    def _parse_name(self, kind: str, args: dict) -> tuple[str, str]:
        """Return the name of a template or a calendar, TEAM/NAME, and its team."""
        name = str(args["name"])
        team, _, own_name = name.partition("/")
        self.queries.check_team(team)
        if not NAME_PATTERN.match(own_name):
            raise RefusedError(422, f"a {kind}'s name is TEAM/NAME")
        return name, team

    def _check_unique_uid(self, entry: Entry) -> None:
        """Refuse a second object with the same UID in a calendar (RFC 4791, 5.3.2.1)."""
        if not entry.uid:
            return
        calendar = entry.name.rpartition("/")[0] + "/"
        for name, other in self.store.entries.items():
            if other.uid == entry.uid and name != entry.name and name.startswith(calendar):
                raise RefusedError(422, f"{name} has this UID")

    def _encode_entry(self, entry: Entry) -> Any:
        value = encode_record(entry)
        size, max_bytes = value_bytes(value), value_limit(self.context.facts.store.strictest)
        if size > max_bytes:
            raise RefusedError(413, f"{entry.name}: {size} bytes: a record holds {max_bytes}")
        return value

    def _text_part_writes(self, name: str, text: str) -> list[tuple]:
        """Return the writes of a calendar object's text, split so that each part fits a record."""
        limits = self.context.facts.store.strictest
        max_bytes = value_limit(limits)
        parts: list[tuple] = []
        remaining = text
        while remaining:
            length = min(len(remaining), max_bytes - 2)
            while value_bytes(remaining[:length]) > max_bytes:
                length = length * 9 // 10
            parts.append((part_key(name, len(parts)), remaining[:length], None))
            remaining = remaining[length:]
            if len(parts) + 2 > limits.txn_ops:
                raise RefusedError(413, "too large for the state service")
        return parts

    def _replace_entry(self, entry: Entry, old: Entry, args: dict, text: str | None) -> Change:
        """Return the change of an entry. An edit that changes no time keeps the entry's slot."""
        store, key = self.store, entry_key(entry.name)
        if args.get("if_absent"):
            raise RefusedError(412, "it exists")
        _check_etag(old, args)
        self._check_unique_uid(entry)
        if entry.name in args["silent"]:
            entry = msgspec.structs.replace(entry, paused=old.paused)
        parts = self._text_part_writes(entry.name, text or "")
        new = msgspec.structs.replace(
            entry, created_ms=old.created_ms, shard=old.shard, text_parts=len(parts)
        )
        if new == old and not parts:
            return {}, [], 200, {}
        guards = store.guards(key, template_key(entry.template))
        writes = [
            (key, self._encode_entry(new), None),
            *parts,
            *((part_key(entry.name, n),) for n in range(len(parts), old.text_parts)),
        ]
        if (new.rule, new.until) != (old.rule, old.until) or (old.paused and not new.paused):
            slot = self._fresh_slot(new, store.slot(entry.name))
            self._add_slot_write(guards, writes, old.shard, entry.name, slot)
        return guards, writes, 200, {}

    def _add_slot_write(
        self,
        guards: dict[str, int],
        writes: list[tuple],
        number: int,
        name: str,
        slot: Slot | None,
    ) -> None:
        """Add the write that replaces an entry's slot, or removes it if `slot` is None."""
        guards.update(self.store.guards(shard_key(number)))
        writes.append(
            self.store.shard_write(
                number, {} if slot is None else {name: slot}, name if slot is None else ""
            )
        )

    def _remove(self, request: Any, args: dict) -> None:
        log_fields: dict[str, Any] = {}

        def build() -> Change:
            entry, _ = self.queries.find_entry(args)
            _check_etag(entry, args)
            key = entry_key(entry.name)
            guards = self.store.guards(key)
            writes: list[tuple] = [
                (key,),
                *((part_key(entry.name, n),) for n in range(entry.text_parts)),
            ]
            self._add_slot_write(guards, writes, entry.shard, entry.name, None)
            log_fields.update(name="entry_removed", entry=entry.name)
            return guards, writes, 200, {"removed": entry.name}

        self._write(request, build, log_fields=log_fields)

    def _pause(self, request: Any, args: dict) -> None:
        self._set_paused(request, args, True)

    def _resume(self, request: Any, args: dict) -> None:
        self._set_paused(request, args, False)

    def _set_paused(self, request: Any, args: dict, paused: bool) -> None:
        """Pause or resume; firings missed during a pause are not caught up."""
        log_fields: dict[str, Any] = {}

        def build() -> Change:
            entry, slot = self.queries.find_entry(args)
            body = {"name": entry.name, "paused": paused}
            if entry.paused == paused:
                return {}, [], 200, body
            key = entry_key(entry.name)
            changed = msgspec.structs.replace(entry, paused=paused)
            guards, writes = self.store.guards(key), [(key, encode_record(changed), None)]
            if not paused:
                self._add_slot_write(
                    guards, writes, entry.shard, entry.name, self._fresh_slot(changed, slot)
                )
            log_fields.update(name="entry_paused" if paused else "entry_resumed", entry=entry.name)
            return guards, writes, 200, body

        self._write(request, build, log_fields=log_fields)

    def _run_now(self, request: Any, args: dict) -> None:
        """Dispatch one firing by hand; a repeat with the same `word` returns the same jobs."""
        log_fields: dict[str, Any] = {}
        firing_key = str(args["word"])
        if (
            not NAME_PATTERN.match(firing_key)
            or len(firing_key) > constants.MANUAL_FIRING_KEY_CHARS
        ):
            raise RefusedError(400, "word: up to 16 letters and digits")

        def build() -> Change:
            entry, slot = self.queries.find_entry(args)
            template = self.store.templates.get(entry.template)
            refusal = templates.refusal(self.context, template)
            if refusal is not None or template is None:
                raise RefusedError(422, refusal or "no template")
            firing = f"hand:{firing_key}"
            now_ms = self.wall_clock.now_ms()
            ids, guards, writes = templates.job_writes(entry, template, firing, now_ms)
            body = {"name": entry.name, "jobs": ids}
            if ids[0] in self.context.replica.jobs:
                return {}, [], 200, body
            if templates.awaits_upgrade(self.context, template):
                raise RefusedError(503, "an upgrade is under way: waits_on can't be recorded yet")
            guards.update(self.store.guards(entry_key(entry.name), template_key(entry.template)))
            self._add_slot_write(
                guards,
                writes,
                entry.shard,
                entry.name,
                slot.with_decision(slot.mark, slot.pending, now_ms // 1000, MANUAL, note=firing),
            )
            log_fields.update(
                name="turn", entry=entry.name, firing=firing, jobs=",".join(ids), by="hand"
            )
            return guards, writes, 201, body

        self._write(request, build, log_fields=log_fields)

    # --- calendars ---

    def _put_calendar(self, request: Any, args: dict) -> None:
        name, team = self._parse_name("calendar", args)
        zone = optional_text(args, "zone")
        calendar = Calendar(
            (optional_text(args, "title") or name.partition("/")[2])[: constants.NOTE_CHARS],
            "UTC" if zone is None else zone,
            optional_text(args, "template") or "",
        )
        zones.zone(calendar.zone)
        if calendar.template and calendar.template not in self.store.templates:
            raise RefusedError(422, f"no template {calendar.template}")
        key = calendar_key(name)

        def build() -> Change:
            if args.get("if_absent") and name in self.store.calendars:
                raise RefusedError(405, "it exists")
            if name not in self.store.calendars:
                self._check_limit(
                    team, "calendars", self.store.calendars, constants.TEAM_CALENDARS
                )
            return (
                self.store.guards(key),
                [(key, encode_record(calendar), None)],
                201,
                {"name": name},
            )

        self._write(request, build)

    def _remove_calendar(self, request: Any, args: dict) -> None:
        name = str(args["name"])
        key = calendar_key(name)

        def build() -> Change:
            if name not in self.store.calendars:
                raise RefusedError(404, f"no calendar {name}")
            if any(entry.startswith(name + "/") for entry in self.store.entries):
                raise RefusedError(409, "it has entries: remove them first")
            return self.store.guards(key), [(key,)], 200, {"removed": name}

        self._write(request, build)


def _expected_etag(args: dict) -> str | None:
    """Return the ETag that an entry must have, or None if a request names none."""
    return optional_text(args, "if_match")


def _check_etag(entry: Entry, args: dict) -> None:
    """Refuse a change of an entry that has another ETag than the request names, if it does."""
    expected_etag = _expected_etag(args)
    if expected_etag is not None and expected_etag not in (entry.etag, "*"):
        raise RefusedError(412, f"{entry.name} has changed")
