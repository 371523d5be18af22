"""Read-only requests about schedules: entries, firings, calendars."""

from itertools import islice
from typing import Any

import msgspec

from oakmux import constants
from oakmux.codec.users import job_description
from oakmux.core.context import Context
from oakmux.schedules import records, zones
from oakmux.schedules.firings import firings, mark_at, skipped_by_clock_change
from oakmux.schedules.records import NAME_PATTERN, Entry, ScheduleStore, Slot, encode_record


class RefusedError(Exception):
    """A request that can't be carried out: status and reason."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


def optional_text(args: dict, name: str) -> str | None:
    """Return a text of a request, or None if it is null or omitted; raises RefusedError."""
    text = args.get(name)
    if text is not None and not isinstance(text, str):
        raise RefusedError(400, f"{name}: not a text")
    return text


class ScheduleQueries:
    """Answers read-only requests from the local copy of the records."""

    def __init__(self, context: Context, store: ScheduleStore) -> None:
        self.context = context
        self.store = store

    def answer(self, request: Any, body: dict, status: int = 200) -> None:
        """Answer a request."""
        self.context.answer(request, status, ("schedules", body))

    # --- names ---

    def check_team(self, name: Any) -> str:
        """Check a team's name."""
        if not isinstance(name, str) or name not in self.context.teams:
            raise RefusedError(422, f"unknown team {str(name)[: constants.LOG_TEXT_CHARS]!r}")
        return name

    def check_name(self, name: Any) -> str:
        """Check the name of an entry, `team/name` or `team/calendar/object`."""
        parts = name.split("/") if isinstance(name, str) else []
        if not 2 <= len(parts) <= 3 or not all(NAME_PATTERN.match(part) for part in parts):
            raise RefusedError(
                422,
                f"{str(name)[: constants.LOG_TEXT_CHARS]!r}: a name is TEAM/NAME, "
                "letters, digits and _.@+=-, 80 at most",
            )
        if parts[0] not in self.context.teams and name not in self.store.entries:
            self.check_team(parts[0])
        return name

    def find_entry(self, args: dict) -> tuple[Entry, Slot]:
        """Return an entry and its slot."""
        name = self.check_name(args.get("name"))
        entry, slot = self.store.entries.get(name), self.store.slot(name)
        if entry is None or slot is None:
            raise RefusedError(404, f"no entry {name}")
        return entry, slot

    # --- entries and calendars ---

    def templates(self, request: Any, args: dict) -> None:
        """Answer with the templates whose names begin with `prefix`."""
        prefix = optional_text(args, "prefix") or ""
        rows = [
            {
                "name": name,
                "steps": [
                    [s.name, job_description(s.spec), list(s.needs)] for s in template.steps
                ],
                "used_by": len(self.store.template_users.get(name, ())),
            }
            for name, template in sorted(self.store.templates.items())
            if name.startswith(prefix)
        ]
        self.answer(request, {"templates": rows[: constants.SHOWN_FIRINGS]})

    def entries(self, request: Any, args: dict) -> None:
        """Answer with entries, a page at a time."""
        prefix, after = optional_text(args, "prefix") or "", optional_text(args, "after") or ""
        names = sorted(n for n in self.store.entries if n.startswith(prefix) and n > after)
        rows = [
            self.entry_summary(self.store.entries[name])
            for name in names[: constants.SHOWN_FIRINGS]
        ]
        self.answer(request, {"entries": rows, "more": len(names) > len(rows)})

    def entry_summary(self, entry: Entry) -> dict:
        """Return an entry's row in a list."""
        slot = self.store.slot(entry.name)
        last = slot.decisions[-1] if slot is not None and slot.decisions else None
        rule = entry.rule
        return {
            "name": entry.name,
            "rule": rule.text or "once",
            "kind": rule.kind,
            "zone": rule.zone,
            "template": entry.template,
            "paused": entry.paused,
            "note": entry.note,
            "next": [] if slot is None or entry.paused else self.firings(entry, slot.mark, 1),
            "last": None
            if last is None
            else {"turn": last[0], "outcome": records.OUTCOMES[last[1]]},
        }

    def firings(self, entry: Entry, mark: int, count: int) -> list[dict]:
        """Return up to `count` firings after a mark."""
        found = []
        for firing in islice(firings(entry.rule, mark, True), count):
            if entry.until and firing.at > entry.until:
                break
            found.append(
                {
                    "at": firing.at,
                    "why": firing.why,
                    "local": zones.local(firing.at, entry.rule.zone).isoformat(),
                }
            )
        return found

    def show(self, request: Any, args: dict) -> None:
        """Answer with an entry in full."""
        entry, slot = self.find_entry(args)
        until = zones.local(entry.until, entry.rule.zone).isoformat() if entry.until else None
        self.answer(
            request,
            {
                **self.entry_summary(entry),
                "policy": msgspec.structs.asdict(entry.policy),
                "until": until,
                "deadline_s": entry.deadline_s,
                "pending": slot.pending or None,
                "rule_record": encode_record(entry.rule),
            },
        )

    def next(self, request: Any, args: dict) -> None:
        """Answer with the next firings, and the wall times that a clock change skips."""
        entry, slot = self.find_entry(args)
        count = max(1, min(int(args.get("count", 10)), constants.SHOWN_FIRINGS))
        mark = (
            max(slot.mark, mark_at(entry.rule, int(args["since"])))
            if "since" in args
            else slot.mark
        )
        rows = self.firings(entry, mark, count)
        gaps = []
        for current, following in zip(rows, rows[1:], strict=False):
            gaps += [
                f"{zones.from_wall(wall):%Y-%m-%d %H:%M} is not shown: clocks go ahead"
                for wall in skipped_by_clock_change(entry.rule, current["at"], following["at"])
            ]
        self.answer(
            request,
            {
                "name": entry.name,
                "zone": entry.rule.zone,
                "paused": entry.paused,
                "turns": rows,
                "skipped": gaps,
            },
        )

    def history(self, request: Any, args: dict) -> None:
        """Answer with the last decisions and their jobs."""
        entry, slot = self.find_entry(args)
        jobs, steps = self.context.replica.jobs, self.store.job_count(entry)
        rows = []
        for row in slot.decisions:
            at, outcome, _, note = row
            ids = records.submitted_job_ids(entry, row, steps)
            rows.append(
                {
                    "turn": at,
                    "local": zones.local(at, entry.rule.zone).isoformat(),
                    "outcome": records.OUTCOMES[outcome],
                    "note": "" if ids else note,
                    "jobs": {name: jobs[name].state for name in ids if name in jobs},
                }
            )
        self.answer(request, {"name": entry.name, "turns": rows})

    def calendars(self, request: Any, args: dict) -> None:
        """Answer with a team's calendars."""
        team = self.check_team(args["team"])
        found = {
            name.partition("/")[2]: calendar
            for name, calendar in self.store.calendars.items()
            if name.startswith(team + "/")
        }
        rows = [
            {
                "name": name,
                "title": calendar.title,
                "zone": calendar.zone,
                "template": calendar.template,
            }
            for name, calendar in sorted(found.items())
        ]
        self.answer(request, {"calendars": rows, "epoch": self.context.replica.revision})

    def objects(self, request: Any, args: dict) -> None:
        """Answer with a calendar's objects, all or those named; with their text if requested."""
        calendar = str(args["calendar"])
        if calendar not in self.store.calendars:
            raise RefusedError(404, f"no calendar {calendar}")
        wanted = args.get("names")
        names = (
            sorted(n for n in self.store.entries if n.startswith(calendar + "/"))
            if wanted is None
            else [f"{calendar}/{name}" for name in wanted]
        )
        rows = []
        for name in names:
            entry = self.store.entries.get(name)
            if entry is None:
                rows.append({"name": name.rpartition("/")[2], "etag": None})
                continue
            if not self.matches_filter(entry, args):
                continue
            text = self.store.text(entry) if args.get("text") else ""
            if text is None:
                raise RefusedError(503, "not all of an object has come yet")
            rows.append({"name": name.rpartition("/")[2], "etag": entry.etag, "text": text})
        template = self.store.calendars[calendar].template
        self.answer(
            request,
            {
                "objects": rows,
                "epoch": self.context.replica.revision,
                "zone": self.store.calendars[calendar].zone,
                "template": template,
                "title": self.store.calendars[calendar].title,
            },
        )

    def matches_filter(self, entry: Entry, args: dict) -> bool:
        """Whether an object has the requested component, texts and a firing in the time span."""
        component, texts = optional_text(args, "component"), args.get("texts")
        if component not in (None, entry.component):
            return False
        for name, text in ({} if texts is None else texts).items():
            value = {"UID": entry.uid, "SUMMARY": entry.note}[name]
            if str(text).lower() not in value.lower():
                return False
        start, end = args.get("start"), args.get("end")
        if start is None and end is None:
            return True
        since = int(start) - 1 if start is not None else 0
        firing = next(firings(entry.rule, mark_at(entry.rule, since)), None)
        return firing is not None and (end is None or firing.at < int(end))

    def changes(self, request: Any, args: dict) -> None:
        """Answer with a calendar's objects that changed since a revision, if still known."""
        calendar, since = str(args["calendar"]), int(args["since"])
        if calendar not in self.store.calendars:
            raise RefusedError(404, f"no calendar {calendar}")
        if not self.store.change_log_start <= since <= self.context.replica.revision:
            raise RefusedError(410, "changes since then are not known any more")
        names = dict.fromkeys(
            name
            for mod_revision, name in self.store.change_log
            if mod_revision > since and name.startswith(calendar + "/")
        )
        rows = []
        for name in names:
            entry = self.store.entries.get(name)
            rows.append(
                {"name": name.rpartition("/")[2], "etag": None if entry is None else entry.etag}
            )
        self.answer(request, {"objects": rows, "epoch": self.context.replica.revision})
