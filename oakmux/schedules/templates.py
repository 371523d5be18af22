"""Templates: the jobs that a firing submits, checked when stored and again at each firing."""

from collections.abc import Iterator
from typing import Any

import msgspec

from oakmux import constants
from oakmux.codec.cbor import MAX_TEXT, MalformedError
from oakmux.codec.users import parse_job
from oakmux.core.context import Context
from oakmux.core.model import JobSpec
from oakmux.core.scheduling import quotas
from oakmux.core.state.codecs import encode_job
from oakmux.core.state.formats import FORMAT_COMPACT, value_bytes, value_limit
from oakmux.core.state.keys import job_key
from oakmux.schedules.records import NAME_PATTERN, Entry, Step, Template, encode_record, job_id


class TemplateError(ValueError):
    """A template that can never run; the text gives the reason."""


def parse_steps(rows: Any, team: str) -> Template:
    """Return a template from rows of [name, submission, needed names]; raises TemplateError.

    A step may wait only on steps before it, so dependencies have no cycle.
    """
    if not isinstance(rows, list) or not 0 < len(rows) <= MAX_TEXT:
        raise TemplateError("a template needs one job or more")
    names: dict[str, int] = {}
    steps: list[Step] = []
    for row in rows:
        try:
            name, job, needs = row
        except (TypeError, ValueError):
            raise TemplateError("a step is a name, a job and what it waits on") from None
        if not isinstance(name, str) or not NAME_PATTERN.match(name) or name in names:
            raise TemplateError(
                f"step {str(name)[: constants.LOG_TEXT_CHARS]!r}: not a name of its own"
            )
        if not isinstance(job, dict) or not isinstance(needs, list):
            raise TemplateError(f"{name}: not a job")
        if name in needs:
            raise TemplateError(f"{name}: waits on itself")
        unknown = [need for need in needs if need not in names]
        if unknown:
            raise TemplateError(
                f"{name}: waits on {str(unknown[0])[: constants.LOG_TEXT_CHARS]!r}, which "
                "is not a step before it"
            )
        try:
            spec = parse_job({**job, "id": "job-0"})
        except MalformedError as error:
            raise TemplateError(f"{name}: {error}") from None
        if spec.waits_on:
            raise TemplateError(f"{name}: waits_on names steps, not jobs")
        if spec.team != team:
            raise TemplateError(f"{name}: is of team {spec.team}, not {team}")
        if any(steps[names[need]].spec.kind == "service" for need in needs):
            raise TemplateError(f"{name}: waits on a service, which never ends")
        names[name] = len(steps)
        steps.append(Step(name, spec, tuple(names[need] for need in needs)))
    return Template(tuple(steps))


def check(context: Context, template: Template) -> None:
    """Check that a template can run in this deployment; raises TemplateError.

    One transaction holds the firing's record, all its jobs and, if earlier jobs are replaced,
    their cancellations.
    """
    limits = context.facts.store.strictest
    if 2 * len(template.steps) + 1 > limits.txn_ops and len(template.steps) > 1:
        max_jobs = max(1, (limits.txn_ops - 1) // 2)
        raise TemplateError(f"{len(template.steps)} jobs: a turn can make {max_jobs} here")
    for step in template.steps:
        reason = quotas.infeasible_reason(context, step.spec)
        if reason is not None:
            raise TemplateError(f"{step.name}: {reason}")
        placeholder_ids = tuple("job-" + "9" * 18 for _ in step.needs)
        spec = msgspec.structs.replace(step.spec, waits_on=placeholder_ids)
        size = value_bytes(encode_job("queued", spec.team, spec, 10**13, spec.tasks))
        if size > value_limit(limits):
            raise TemplateError(
                f"{step.name}: description of {size} bytes: a record holds {value_limit(limits)}"
            )
    size = value_bytes(encode_record(template))
    if size > value_limit(limits):
        raise TemplateError(f"template of {size} bytes: a record holds {value_limit(limits)}")


def awaits_upgrade(context: Context, template: Template) -> bool:
    """Whether dependencies can't be recorded yet: not all controllers read `waits_on`."""
    return context.replica.format < FORMAT_COMPACT and any(step.needs for step in template.steps)


def refusal(context: Context, template: Template | None) -> str | None:
    """Return why a firing can't be dispatched: no template or team, or jobs no longer fit."""
    if template is None:
        return "no template"
    for step in template.steps:
        reason = quotas.infeasible_reason(context, step.spec) if context.types else None
        if reason is not None:
            return reason
    return None


def firing_jobs(
    entry: Entry, template: Template, firing: str, tries: int = 0
) -> Iterator[tuple[str, JobSpec]]:
    """Yield (id, job) of a firing, each job after those that it waits on."""
    ids = [job_id(entry, firing, n, tries) for n in range(len(template.steps))]
    for own_id, step in zip(ids, template.steps, strict=True):
        changes: dict[str, Any] = {}
        if step.needs:
            changes["waits_on"] = tuple(ids[n] for n in step.needs)
        if entry.deadline_s is not None:
            changes["deadline_s"] = entry.deadline_s
        yield own_id, msgspec.structs.replace(step.spec, **changes) if changes else step.spec


def job_writes(
    entry: Entry, template: Template, firing: str, order: int, tries: int = 0
) -> tuple[list[str], dict[str, int], list[tuple]]:
    """Return the ids of a firing's jobs, guards that none of them exists, and their writes."""
    ids: list[str] = []
    guards: dict[str, int] = {}
    writes: list[tuple] = []
    for name, spec in firing_jobs(entry, template, firing, tries):
        ids.append(name)
        guards[job_key(name)] = 0
        writes.append(
            (job_key(name), encode_job("queued", spec.team, spec, order, spec.tasks), None)
        )
    return ids, guards, writes
