"""Conversion between the values of records and the types in `records`.

Values are nested lists in the form kept in the store. Their fields are positional, and the order
of fields never changes. All functions that decode raise MalformedValueError.
"""

from typing import Any, NamedTuple

import msgspec

from oakmux.core.model import JobSpec, MachineType
from oakmux.core.state.errors import MalformedValueError
from oakmux.core.state.formats import FORMAT_COMPACT
from oakmux.core.state.records import Binding, JobState, TaskBlock

Value = list[Any]

# Errors raised by the conversion of a value that has an unexpected form.
CONVERSION_ERRORS = (TypeError, ValueError, LookupError, msgspec.ValidationError)


class JobRecord(NamedTuple):
    """The decoded value of a job's record."""

    state: JobState
    team: str
    spec: JobSpec | None
    submitted_ms: int
    tasks: int


def encode_job(
    state: JobState, team: str, spec: JobSpec | None, submitted_ms: int, tasks: int
) -> Value:
    """Return the value of a job's record."""
    if spec is None:
        return [state, team, None, submitted_ms, tasks]
    if state != "queued":
        # Empty the lists that matter only before the start, so that the record of the end fits
        # the value limit. None instead of the types would allow any.
        types: list[str] | None = None if spec.types is None else []
        spec = msgspec.structs.replace(spec, types=types, waits_on=())
    fields = list(msgspec.to_builtins(spec))
    # Dependencies come last; format 1 doesn't have them.
    return [state, team, fields if spec.waits_on else fields[:-1], submitted_ms, tasks]


def decode_job(value: Any) -> JobRecord:
    """Decode the value of a job's record."""
    try:
        state, team, fields, submitted_ms, tasks = value
        spec = None if fields is None else msgspec.convert(fields, JobSpec)
    except CONVERSION_ERRORS as error:
        raise MalformedValueError("job", error) from error
    return JobRecord(state, team, spec, submitted_ms, tasks)


def encode_block(block: TaskBlock, record_format: int) -> Value:
    """Return the value of a task block."""
    counters = [block.last_attempt, f"{block.completed_mask:x}"]
    if record_format < FORMAT_COMPACT:
        return [*counters, _encode_bindings(block)]
    return [*counters, *_encode_bindings_compactly(block)]


def _encode_bindings(block: TaskBlock) -> list[Value]:
    return [
        [index, b.attempt, b.machine, b.agent_epoch, b.term, b.zone, b.stop]
        for index, b in sorted(block.bindings.items())
    ]


def _encode_bindings_compactly(block: TaskBlock) -> tuple[list[Value], list[Value]]:
    """Return a block's bindings with their common fields written once.

    The result is a list of origins (agent epoch, term, zone, stop), and a list of groups
    (machine, index of its origin, task, attempt, task, attempt, ...).
    """
    origins: dict[tuple[int, int, str, int], int] = {}
    groups: dict[tuple[str, int], Value] = {}
    for index, b in sorted(block.bindings.items()):
        origin = origins.setdefault((b.agent_epoch, b.term, b.zone, int(b.stop)), len(origins))
        groups.setdefault((b.machine, origin), [b.machine, origin]).extend((index, b.attempt))
    return [list(origin) for origin in origins], list(groups.values())


def decode_block(value: Any, mod_revision: int) -> TaskBlock:
    """Decode the value of a task block in any format."""
    try:
        last_attempt, completed_hex, *fields = value
        compact = len(fields) > 1
        bindings = _decode_compact_bindings(*fields) if compact else _decode_bindings(*fields)
        return TaskBlock(mod_revision, last_attempt, int(completed_hex, 16), bindings, compact)
    except CONVERSION_ERRORS as error:
        raise MalformedValueError("task block", error) from error


def _decode_bindings(values: list[Value]) -> dict[int, Binding]:
    return {value[0]: Binding(*value[1:]) for value in values}


def _decode_compact_bindings(origins: list[Value], groups: list[Value]) -> dict[int, Binding]:
    bindings: dict[int, Binding] = {}
    for machine, origin, *pairs in groups:
        agent_epoch, term, zone, stop = origins[origin]
        for index, attempt in zip(pairs[::2], pairs[1::2], strict=True):
            bindings[index] = Binding(attempt, machine, agent_epoch, term, zone, bool(stop))
    return bindings


def decode_machine_types(value: Any) -> dict[str, MachineType]:
    """Decode the recorded machine types; return them by name."""
    try:
        return {fields[0]: msgspec.convert(fields, MachineType) for fields in value}
    except CONVERSION_ERRORS as error:
        raise MalformedValueError("list of machine types", error) from error
