"""The entries that a request stores: their fields with types, and the checks of their values.

A field that may be null may also be omitted. An empty text, list or map is never taken for null:
it is a value like any other, or has the wrong type.
"""

from typing import Any

import msgspec

from oakmux import constants
from oakmux.schedules import zones
from oakmux.schedules.firings import Rule, check_recurrence, cron_rule
from oakmux.schedules.queries import RefusedError
from oakmux.schedules.records import CATCH_UPS, OVERLAPS, Policy

MAX_UNTIL_S = 10**11
"""Times (s since 1970) from which on `until` is out of range."""

MAX_DEADLINE_S = 1e12


class CronRuleRequest(msgspec.Struct):
    """A cron expression, and the time zone of its times."""

    cron: str
    zone: str | None = None


class PolicyRequest(msgspec.Struct):
    """A policy; what it leaves out has the default of `Policy`."""

    overlap: str | None = None
    catch_up: str | None = None
    window_s: int | None = None
    jitter_s: int | None = None


class EntryRequest(msgspec.Struct):
    """An entry; an edit that leaves `paused` out keeps it as it is."""

    name: Any
    rule: CronRuleRequest | list[Any]
    template: str
    policy: PolicyRequest | None = None
    until: int | None = None
    paused: bool | None = None
    deadline_s: float | None = None
    note: str | None = None
    etag: str | None = None
    component: str | None = None
    uid: str | None = None


def parse_entry_request(args: Any) -> EntryRequest:
    """Return the entry of a request; raises msgspec.ValidationError or RefusedError."""
    request = msgspec.convert(args, EntryRequest)
    until, deadline = request.until, request.deadline_s
    if (until is not None and not 0 <= until < MAX_UNTIL_S) or (
        deadline is not None and not 0 < deadline < MAX_DEADLINE_S
    ):
        raise RefusedError(422, "until or deadline_s: out of range")
    return request


def parse_rule(request: CronRuleRequest | list[Any]) -> Rule:
    """Return a rule, checked in full; raises RuleError, UnknownZoneError or RefusedError."""
    if isinstance(request, CronRuleRequest):
        rule = cron_rule(request.cron, "UTC" if request.zone is None else request.zone)
        zones.zone(rule.zone)
        return rule
    rule = msgspec.convert(request, Rule)
    zones.zone(rule.zone)
    if rule.kind == "cron":
        return cron_rule(rule.text, rule.zone)
    if rule.kind != "calendar":
        raise RefusedError(422, f"unknown kind of rule {rule.kind[: constants.LOG_TEXT_CHARS]!r}")
    check_recurrence(rule.text, rule.start)
    return rule


def parse_policy(request: PolicyRequest | None) -> Policy:
    """Return a policy with defaults for what is left out; raises RefusedError."""
    given = {} if request is None else msgspec.structs.asdict(request)
    policy = Policy(**{name: value for name, value in given.items() if value is not None})
    if policy.overlap not in OVERLAPS:
        raise RefusedError(422, f"overlap: one of {', '.join(OVERLAPS)}")
    if policy.catch_up not in CATCH_UPS:
        raise RefusedError(422, f"catch_up: one of {', '.join(CATCH_UPS)}")
    if not 0 < policy.window_s <= constants.CATCH_UP_WINDOW_MAX_S:
        raise RefusedError(422, f"window_s: 1 to {constants.CATCH_UP_WINDOW_MAX_S}")
    if not 0 <= policy.jitter_s <= constants.JITTER_MAX_S:
        raise RefusedError(422, f"jitter_s: 0 to {constants.JITTER_MAX_S}")
    return policy
