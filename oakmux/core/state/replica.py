"""A replica of all records in the store, updated by the watch and by this controller's writes."""

import logging
from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

from oakmux import constants
from oakmux.core.model import MachineType
from oakmux.core.state import keys
from oakmux.core.state.changes import ChangeTracker
from oakmux.core.state.codecs import CONVERSION_ERRORS, decode_machine_types
from oakmux.core.state.formats import FORMAT, FORMAT_FIRST
from oakmux.core.state.job_records import JobRecords

log = logging.getLogger("oakmux.records")

Handler = Callable[[str, Any, int], None]
"""Applies a change of a record: the key without its kind, the value (None: deleted) and the mod
revision."""


class RecordNamespace(Protocol):
    """Holds the records of an additional kind, for an optional subsystem."""

    def keys(self) -> set[str]:
        """Return the keys of all its records."""

    def apply(self, suffix: str, value: Any, mod_revision: int) -> None:
        """Apply one change; `suffix` is the key without the prefix common to its kind."""


class RoleHolder(NamedTuple):
    """The controller that holds a role, and the mod revision of the role's record."""

    controller_id: str
    incarnation: int
    mod_revision: int


class RecordedTerm(NamedTuple):
    """The highest allocated term, and the mod revision of its record."""

    term: int
    mod_revision: int


class Replica:
    """All records delivered by the watch, with this controller's own writes applied."""

    def __init__(self) -> None:
        self.revision = 0
        self.loaded = False
        self.changes = ChangeTracker()
        self.job_records = JobRecords(self.changes)
        # Shorthands for the most used parts of the job records.
        self.jobs = self.job_records.jobs
        self.active = self.job_records.active
        self.usage = self.job_records.usage
        self.bindings = self.job_records.bindings
        self.dependencies = self.job_records.dependencies
        self.cancellations = self.job_records.cancellations
        # The latest format that each controller can read.
        self.versions: dict[str, int] = {}
        self.format = FORMAT_FIRST
        # The latest format that this controller can read and write.
        self.known_format = FORMAT
        self.format_revision = 0
        # Tasks per task block, recorded with the format; the mapping of tasks to blocks never
        # changes.
        self.tasks_per_record: int | None = None
        self.roles: dict[str, RoleHolder] = {}
        # Incremented with each applied role record, so that repeated reads in a step can detect
        # changes cheaply.
        self.role_changes = 0
        # The incarnations of controllers whose lease is alive.
        self.live_controllers: dict[str, int] = {}
        # The mod revisions of the records of terminated machines.
        self.terminated_machines: dict[str, int] = {}
        self.term = RecordedTerm(0, 0)
        self.types: dict[str, MachineType] = {}
        # Keys of records that could not be read.
        self.unreadable: set[str] = set()
        # Records of additional kinds, by the kind in their keys.
        self.namespaces: dict[str, RecordNamespace] = {}
        self._handlers: dict[str, Handler] = {
            keys.JOB: self.job_records.apply_job,
            keys.TASK_BLOCK: self.job_records.apply_block,
            keys.BINDING_BATCH: self.job_records.apply_batch,
            keys.ROLE: self._apply_role,
            keys.CONTROLLER: self._apply_controller,
            keys.TERMINATION: self._apply_termination,
            keys.MACHINE_TYPES: self._apply_machine_types,
            keys.TERM: self._apply_term,
            keys.VERSION: self._apply_version,
            keys.RECORD_FORMAT: self._apply_format,
        }

    @property
    def unknown_format(self) -> bool:
        """Whether the records have a later format, which this version may be unable to read."""
        return self.format > self.known_format

    def load(self, rows: list[tuple[str, Any, int]], revision: int) -> None:
        """Apply a complete list of (key, value, mod revision); missing keys count as deleted."""
        listed = {key for key, _, _ in rows}
        for key in self._keys() - listed:
            self.apply(key, None, revision)
        for key, value, mod_revision in rows:
            self.apply(key, value, mod_revision)
        self.revision = max(self.revision, revision)
        self.loaded = True

    def _keys(self) -> set[str]:
        """Return the keys of all records that may be deleted, and of all jobs."""
        record_keys = self.job_records.keys()
        record_keys.update(keys.role_key(role) for role in self.roles)
        record_keys.update(keys.controller_key(name) for name in self.live_controllers)
        record_keys.update(keys.termination_key(machine) for machine in self.terminated_machines)
        for namespace in self.namespaces.values():
            record_keys.update(namespace.keys())
        return record_keys

    def apply(self, key: str, value: Any, mod_revision: int) -> None:
        """Apply one change; a change older than the known state of its key is ignored."""
        kind, suffix = keys.split_key(key)
        try:
            handler = self._handlers.get(kind)
            if handler is not None:
                handler(suffix, value, mod_revision)
            elif kind in self.namespaces:
                self.namespaces[kind].apply(suffix, value, mod_revision)
        except CONVERSION_ERRORS as error:  # includes RecordError, a ValueError
            # Written by an unknown version: log once per key, not at each change.
            if key not in self.unreadable and len(self.unreadable) < constants.MAX_CACHE_ENTRIES:
                self.unreadable.add(key)
                log.error("event=unreadable_record key=%s why=%r", key, str(error))

    def _apply_role(self, role: str, value: Any, mod_revision: int) -> None:
        self.role_changes += 1
        holder = self.roles.get(role)
        if value is None:
            if holder is not None and holder.mod_revision <= mod_revision:
                del self.roles[role]
        elif holder is None or holder.mod_revision < mod_revision:
            self.roles[role] = RoleHolder(value[0], value[1], mod_revision)

    def _apply_controller(self, controller_id: str, value: Any, _mod_revision: int) -> None:
        if value is None:
            self.live_controllers.pop(controller_id, None)
        else:
            self.live_controllers[controller_id] = value

    def _apply_termination(self, machine: str, value: Any, mod_revision: int) -> None:
        if value is None:
            self.terminated_machines.pop(machine, None)
        else:
            self.terminated_machines[machine] = mod_revision
            self.changes.touch(machine)
            self.changes.machines.add(machine)

    def _apply_machine_types(self, _suffix: str, value: Any, _mod_revision: int) -> None:
        if value is not None:
            self.types = decode_machine_types(value)

    def _apply_term(self, _suffix: str, value: Any, mod_revision: int) -> None:
        if value is not None and mod_revision > self.term.mod_revision:
            self.term = RecordedTerm(value, mod_revision)

    def _apply_version(self, controller_id: str, value: Any, _mod_revision: int) -> None:
        if value is not None:
            self.versions[controller_id] = value

    def _apply_format(self, _suffix: str, value: Any, mod_revision: int) -> None:
        if value is None or mod_revision <= self.format_revision:
            return
        self.format, self.format_revision = value[0], mod_revision
        if self.unknown_format:
            log.error("event=unknown_format format=%s known=%s", self.format, self.known_format)
        else:
            self.tasks_per_record = value[1]
