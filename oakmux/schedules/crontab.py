"""Parser for cron tables: returns a rule for each line, or an error with line and column.

The grammar is in `crontab.lark`; `firings` checks complete rules and computes when they fire.
"""

import re
from collections.abc import Iterator
from functools import cache
from importlib import resources
from typing import NamedTuple

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedInput, UnexpectedToken

from oakmux import constants
from oakmux.schedules.firings import Rule, RuleError, cron_rule
from oakmux.schedules.zones import UnknownZoneError, zone

FIELDS = (
    ("minute", 0, 59),
    ("hour", 0, 23),
    ("day of month", 1, 31),
    ("month", 1, 12),
    ("day of week", 0, 7),
)
MONTHS = ["jan", "feb", "mar", "apr", "may", "jun", "jul", "aug", "sep", "oct", "nov", "dec"]
DAYS = ["sun", "mon", "tue", "wed", "thu", "fri", "sat"]
ZONE_VARIABLES = ("CRON_TZ", "TZ")
TOKEN_DESCRIPTIONS = {
    "_WS": "a blank",
    "NUMBER": "a number",
    "WORD": "a name",
    "STAR": "'*'",
    "SLASH": "'/'",
    "MINUS": "'-'",
    "COMMA": "','",
    "REST": "a command",
    "ALIAS": "@...",
    "NAME": "NAME=",
    "EQUAL": "=",
    "$END": "the end of the line",
    "DOUBLE": '"...',
    "SINGLE": "'...",
    "BARE": "a value",
}


class Line(NamedTuple):
    """An entry of a table: `number` is the line, from 1; `stdin` the lines after the first %."""

    number: int
    rule: Rule
    user: str
    command: str
    stdin: str
    environment: dict[str, str]


class Problem(NamedTuple):
    """An invalid line: line number and column (both from 1) and the reason."""

    number: int
    column: int
    reason: str

    @property
    def text(self) -> str:
        """The problem as one line of text."""
        return f"line {self.number}, column {self.column}: {self.reason}"


@cache
def _grammar() -> Lark:
    text = resources.files("oakmux.schedules").joinpath("crontab.lark").read_text("utf-8")
    return Lark(text, start="line", parser="lalr", maybe_placeholders=False)


def parse(
    text: str, default_zone: str = "UTC", system: bool = False
) -> tuple[list[Line], list[Problem]]:
    """Return the entries and the problems of a table; `system` tables have a user column.

    An environment line applies to the lines after it. Entries are returned even if other lines
    have problems, so callers must check both lists.
    """
    lines: list[Line] = []
    problems: list[Problem] = []
    environment: dict[str, str] = {}
    if len(text) > constants.CRONTAB_BYTES:
        return [], [Problem(1, 1, f"more than {constants.CRONTAB_BYTES} characters")]
    for number, raw in _logical_lines(text):
        if not raw.strip() or raw.lstrip().startswith("#"):
            continue
        try:
            parsed = _line(raw, number, default_zone, system, environment)
        except _LineError as bad:
            problems.append(Problem(number, bad.column, bad.reason))
            continue
        if isinstance(parsed, Line):
            lines.append(parsed)
        else:
            environment = _without_empty_zones({**environment, **parsed})
    return lines, problems


class _LineError(Exception):
    def __init__(self, column: int, reason: str) -> None:
        super().__init__(reason)
        self.column = column
        self.reason = reason


def _logical_lines(text: str) -> Iterator[tuple[int, str]]:
    """Yield (number, line); a line that ends in one backslash is joined to the next."""
    continued, start = "", 0
    for number, raw in enumerate(re.split(r"\r\n|\r|\n", text), 1):
        start = start or number
        if raw.endswith("\\") and not raw.endswith("\\\\"):
            continued += raw[:-1] + " "
            continue
        yield start, continued + raw
        continued, start = "", 0
    if continued:
        yield start, continued


def _line(
    raw: str, number: int, default_zone: str, system: bool, environment: dict[str, str]
) -> Line | dict[str, str]:
    try:
        tree = _grammar().parse(raw)
    except UnexpectedInput as error:
        raise _LineError(*_error_position(error, raw)) from None
    if not tree.children:
        raise _LineError(1, "nothing that a table has")
    content = tree.children[0]
    assert isinstance(content, Tree)
    if content.data == "environment":
        return _environment(content)
    zone_name = next(
        (environment[name] for name in ZONE_VARIABLES if name in environment), default_zone
    )
    command_tree = content.children[-1]
    assert isinstance(command_tree, Tree) and isinstance(command_tree.children[0], Token)
    user, command, stdin = _command(command_tree.children[0], system)
    return Line(number, _rule(content, zone_name), user, command, stdin, dict(environment))


def _error_position(error: UnexpectedInput, raw: str) -> tuple[int, str]:
    """Return the column of a syntax error and what was expected there."""
    column = error.column if error.column > 0 else len(raw) + 1
    if isinstance(error, UnexpectedToken):
        names = error.accepts or error.expected
        if error.token.type == "$END":
            column = len(raw) + 1
    else:
        names = getattr(error, "allowed", None) or set()
    text = ", ".join(sorted({TOKEN_DESCRIPTIONS.get(name, name) for name in names}))
    return column, f"expected {text or 'five fields and a command'}"


def _environment(tree: Tree) -> dict[str, str]:
    name = str(tree.children[0])
    value = tree.children[1] if len(tree.children) > 1 else ""
    text = str(value).rstrip()
    if isinstance(value, Token) and value.type in ("DOUBLE", "SINGLE"):
        text = text[1:-1]
    if name in ZONE_VARIABLES and text:
        try:
            zone(text.removeprefix(":"))
        except UnknownZoneError as error:
            column = value.column if isinstance(value, Token) and value.column else 1
            raise _LineError(column, str(error)) from None
        text = text.removeprefix(":")
    return {name: text}


def _without_empty_zones(environment: dict[str, str]) -> dict[str, str]:
    """Drop empty zone variables: they restore the default zone."""
    return {name: text for name, text in environment.items() if text or name not in ZONE_VARIABLES}


def _command(token: Token, system: bool) -> tuple[str, str, str]:
    """Split the end of a line into user, command and the command's standard input."""
    text, user = str(token), ""
    column = token.column or 1
    if system:
        user, _, text = (
            text.partition(" ") if "\t" not in text.split(" ")[0] else (text.partition("\t"))
        )
        text = text.strip()
        if not text:
            raise _LineError(column + len(user), "expected a command after the user")
    command, *stdin = re.split(r"(?<!\\)%", text)
    lines = [part.replace("\\%", "%") for part in (command, *stdin)]
    return user, lines[0].strip(), "\n".join(lines[1:])


def _rule(tree: Tree, zone_name: str) -> Rule:
    first = tree.children[0]
    if tree.data == "alias":
        assert isinstance(first, Token)
        try:
            return cron_rule(str(first), zone_name)
        except RuleError as error:
            raise _LineError(
                first.column or 1,
                f"{first}: {error}".removeprefix(f"{first}: {first}: ")
                if str(error).startswith("@")
                else f"unknown alias {first}",
            ) from None
    parts = []
    for field, (name, low, high) in zip(tree.children[:5], FIELDS, strict=True):
        assert isinstance(field, Tree)
        parts.append(_field(field, name, low, high))
    try:
        return cron_rule(" ".join(parts), zone_name)
    except RuleError as error:
        raise _LineError(_first_column(tree), str(error)) from None


def _first_column(tree: Tree) -> int:
    token = next(tree.scan_values(lambda value: isinstance(value, Token)))
    return token.column or 1


def _field(field: Tree, name: str, low: int, high: int) -> str:
    """Return a field with its names as numbers; check the range of each value."""
    parts = []
    for part in field.children:
        assert isinstance(part, Tree)
        base, *step = part.children
        assert isinstance(base, Tree)
        text, ends = "*", []
        if not isinstance(base.children[0], Token):
            ends = [
                _value(item.children[0], name, low, high)
                for item in base.children
                if isinstance(item, Tree)
            ]
            text = "-".join(str(end) for end in ends)
            if name == "day of week" and len(ends) == 2 and not ends[1]:
                ends[1] = 7  # sat-sun
                text = f"{ends[0]}-7"
            if len(ends) == 2 and ends[0] > ends[1]:
                raise _LineError(_first_column(base), f"{name}: {text} runs backwards")
        if step:
            token = step[0]
            assert isinstance(token, Token)
            if not 0 < int(token) <= high:
                raise _LineError(token.column or 1, f"{name}: a step of 1 to {high} is expected")
            if len(ends) == 1:  # as in traditional cron: from this value on
                text += f"-{high}"
            text += f"/{int(token)}"
        parts.append(text)
    return ",".join(parts)


def _value(token: object, name: str, low: int, high: int) -> int:
    assert isinstance(token, Token)
    names = MONTHS if name == "month" else DAYS if name == "day of week" else []
    if token.type == "WORD":
        word = str(token).lower()
        if word not in names:
            names_hint = f" or one of {', '.join(names)}" if names else ""
            raise _LineError(token.column or 1, f"{name}: {low} to {high}{names_hint} is expected")
        return names.index(word) + (1 if name == "month" else 0)
    if len(token) > 4 or not low <= int(token) <= high:
        raise _LineError(token.column or 1, f"{name}: {low} to {high} is expected")
    return int(token)
