"""Records of schedules in the state service, and a local copy of all of them.

Keys below `ox/s/`:

- e/<entry>: rule, template and policy.
- t/<team>/<template>: the steps of a firing.
- m/<shard>: for some entries, how far their firings are decided.
- c/<team>/<calendar>: a calendar.
- p/<entry>/<part>: part of a calendar object's text, as its client sent it.

All state that changes with every firing is in shards. One shard record serves many entries, so
that a firing costs little more than its job.
"""

import hashlib
import re
from collections import deque
from collections.abc import Callable
from typing import Any

import msgspec

from oakmux import constants
from oakmux.core.model import JobSpec
from oakmux.core.state.keys import PREFIX
from oakmux.schedules.firings import Rule

NAMESPACE = "s"
NAME_PATTERN = re.compile(r"[A-Za-z0-9_.@+=-]{1,80}\Z")
OVERLAPS = ("skip", "queue", "allow", "replace")
CATCH_UPS = ("all", "last", "none")
# Reserved for jobs that firings submit: their ids have 18 digits, of which the first two are 97.
RESERVED_JOB_PREFIX = "job-97"
# Outcomes of a firing, as stored in an entry's slot.
MADE, SKIPPED, QUEUED, MISSED, REFUSED, MANUAL = "m", "s", "q", "x", "r", "h"
OUTCOMES = {
    MADE: "made",
    SKIPPED: "skipped: the one before still ran",
    QUEUED: "queued",
    MISSED: "missed: too late to catch up",
    REFUSED: "refused",
    MANUAL: "by hand",
}


class Step(msgspec.Struct, frozen=True, array_like=True):
    """One job of a template; `needs` has the indexes of the earlier steps that it waits on."""

    name: str
    spec: JobSpec
    needs: tuple[int, ...] = ()


class Template(msgspec.Struct, frozen=True, array_like=True):
    """The jobs that a firing submits."""

    steps: tuple[Step, ...]


class Policy(msgspec.Struct, frozen=True, array_like=True):
    """What to do when firings overlap or are late; times in seconds."""

    overlap: str = "skip"
    catch_up: str = "all"
    window_s: int = 3600
    jitter_s: int = 0


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One line of a cron table, one calendar object, or one schedule created by hand."""

    name: str
    rule: Rule
    template: str
    policy: Policy = Policy()
    until: int = 0  # s since 1970 after which there are no more firings; 0: no end
    paused: bool = False
    created_ms: int = 0  # ms; hashed into job ids: a later entry of this name gets others
    shard: int = 0
    deadline_s: float | None = None
    note: str = ""
    text_parts: int = 0
    etag: str = ""
    component: str = ""  # VEVENT or VTODO, of a calendar object
    uid: str = ""

    @property
    def team(self) -> str:
        """The team whose guarantee and limit apply."""
        return self.name.partition("/")[0]


class Calendar(msgspec.Struct, frozen=True, array_like=True):
    """A team's calendar: title, zone of times that have none, and default template."""

    title: str
    zone: str
    template: str = ""


class Slot(msgspec.Struct, array_like=True):
    """How far an entry's firings are decided, and the last decisions.

    Firings up to `mark` (see `firings`) are decided; `pending` is the firing (s) that waits for
    the previous one to finish.
    A decision is [firing (s), outcome, tries of its id, note].
    """

    name: str
    mark: int
    pending: int = 0
    decisions: list[tuple[int, str, int, str]] = []

    def with_decision(
        self, mark: int, pending: int, at: int, outcome: str, tries: int = 0, note: str = ""
    ) -> "Slot":
        """Return the slot after one more decision; the oldest decisions are dropped."""
        decisions = [row for row in self.decisions if not (row[0] == at and row[1] == QUEUED)]
        decisions.append((at, outcome, tries, note[: constants.DECISION_NOTE_BYTES]))
        return Slot(self.name, mark, pending, decisions[-constants.DECISIONS_KEPT :])


def entry_key(name: str) -> str:
    """Return the key of an entry."""
    return f"{PREFIX}{NAMESPACE}/e/{name}"


def template_key(name: str) -> str:
    """Return the key of a template, named `team/template`."""
    return f"{PREFIX}{NAMESPACE}/t/{name}"


def shard_key(number: int) -> str:
    """Return the key of a shard."""
    return f"{PREFIX}{NAMESPACE}/m/{number}"


def calendar_key(name: str) -> str:
    """Return the key of a calendar, named `team/calendar`."""
    return f"{PREFIX}{NAMESPACE}/c/{name}"


def part_key(name: str, number: int) -> str:
    """Return the key of a part of a calendar object's text."""
    return f"{PREFIX}{NAMESPACE}/p/{name}/{number}"


def encode_record(record: Any) -> Any:
    """Return a record as plain values for the state service."""
    return msgspec.to_builtins(record)


def job_id(entry: Entry, firing: str, step: int, tries: int) -> str:
    """Return the id of a job that a firing submits; it depends on the entry and the firing alone.

    `tries` counts ids that are taken by jobs from before schedules were enabled.
    """
    text = f"{entry.name}|{entry.created_ms}|{firing}|{step}|{tries}"
    number = int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest()) % 10**16
    return f"{RESERVED_JOB_PREFIX}{number:016d}"


def submitted_job_ids(entry: Entry, decision: tuple[int, str, int, str], steps: int) -> list[str]:
    """Return the ids of the jobs that a decision submitted, if any."""
    at, outcome, tries, note = decision
    if outcome not in (MADE, MANUAL):
        return []
    firing = note if outcome == MANUAL else str(at)
    return [job_id(entry, firing, step, tries) for step in range(steps)]


class ScheduleStore:
    """All records of schedules, updated by the watch and by this controller's own writes."""

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.templates: dict[str, Template] = {}
        self.calendars: dict[str, Calendar] = {}
        self.shards: dict[int, dict[str, Slot]] = {}
        self.text_parts: dict[str, str] = {}
        self.template_users: dict[str, set[str]] = {}
        self.mod_revisions: dict[str, int] = {}
        self.removed_at: dict[str, int] = {}
        # Entries whose rule, template or slot changed, until the dispatcher plans them again.
        self.changed: set[str] = set()
        # Recent changes of entries (revision, name), for clients that request the changes since a
        # revision; and the revision after which the log is complete.
        self.change_log: deque[tuple[int, str]] = deque(maxlen=constants.CHANGES_KEPT)
        self.change_log_start = 0
        self._handlers: dict[str, Callable[[str, Any, int], None]] = {
            "e": self._apply_entry,
            "t": self._apply_template,
            "m": self._apply_shard,
            "c": self._apply_calendar,
            "p": self._apply_text_part,
        }

    def keys(self) -> set[str]:
        """Return the keys of all existing records."""
        return set(self.mod_revisions)

    def mod_revision(self, key: str) -> int:
        """Return a key's mod revision for a guard; 0: the key does not exist."""
        return self.mod_revisions.get(key, 0)

    def guards(self, *keys: str) -> dict[str, int]:
        """Return guards that hold while the stored records are the same as the local ones."""
        return {key: self.mod_revision(key) for key in keys}

    def slot(self, name: str) -> Slot | None:
        """Return an entry's slot; None if the entry or its shard is not loaded."""
        entry = self.entries.get(name)
        return None if entry is None else self.shards.get(entry.shard, {}).get(name)

    def shard_write(self, number: int, slots: dict[str, Slot], removed: str = "") -> tuple:
        """Return the write of a shard with `slots` replaced and the slot `removed` left out."""
        merged = {**self.shards.get(number, {}), **slots}
        merged.pop(removed, None)
        return shard_key(number), [encode_record(slot) for slot in merged.values()], None

    def apply(self, suffix: str, value: Any, mod_revision: int) -> None:
        """Apply one change of the key `ox/s/<suffix>` if it is newer than the known one."""
        key = f"{PREFIX}{NAMESPACE}/{suffix}"
        if mod_revision <= max(self.mod_revisions.get(key, 0), self.removed_at.get(key, 0)):
            return
        kind, _, name = suffix.partition("/")
        handler = self._handlers.get(kind)
        if handler is None:
            return  # a kind of a later version
        handler(name, value, mod_revision)
        if value is None:
            self.mod_revisions.pop(key, None)
            self.removed_at[key] = mod_revision
            if len(self.removed_at) > constants.CHANGES_KEPT:
                del self.removed_at[next(iter(self.removed_at))]
        else:
            self.mod_revisions[key] = mod_revision

    def _apply_entry(self, name: str, value: Any, mod_revision: int) -> None:
        old = self.entries.get(name)
        if old is not None:
            self.template_users.get(old.template, set()).discard(name)
        if value is None:
            self.entries.pop(name, None)
        else:
            entry = msgspec.convert(value, Entry)
            self.entries[name] = entry
            self.template_users.setdefault(entry.template, set()).add(name)
        self.changed.add(name)
        if len(self.change_log) == self.change_log.maxlen:
            self.change_log_start = self.change_log[0][0]
        self.change_log.append((mod_revision, name))

    def _apply_template(self, name: str, value: Any, _: int) -> None:
        if value is None:
            self.templates.pop(name, None)
        else:
            self.templates[name] = msgspec.convert(value, Template)
        self.changed.update(self.template_users.get(name, ()))

    def _apply_calendar(self, name: str, value: Any, _: int) -> None:
        if value is None:
            self.calendars.pop(name, None)
        else:
            self.calendars[name] = msgspec.convert(value, Calendar)

    def _apply_text_part(self, name: str, value: Any, _: int) -> None:
        if value is None:
            self.text_parts.pop(name, None)
        else:
            self.text_parts[name] = str(value)

    def _apply_shard(self, name: str, value: Any, _: int) -> None:
        number = int(name)
        old = self.shards.get(number, {})
        new = {}
        if value is not None:
            new = {slot.name: slot for slot in msgspec.convert(value, list[Slot])}
        self.changed.update(name for name in {*old, *new} if old.get(name) != new.get(name))
        self.shards[number] = new

    def job_count(self, entry: Entry) -> int:
        """Return how many jobs a firing of an entry submits."""
        template = self.templates.get(entry.template)
        return 1 if template is None else len(template.steps)

    def text(self, entry: Entry) -> str | None:
        """Return a calendar object's text, or None while parts of it are missing."""
        parts = [self.text_parts.get(f"{entry.name}/{n}") for n in range(entry.text_parts)]
        return None if None in parts else "".join(part or "" for part in parts)
