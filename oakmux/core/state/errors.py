"""Errors of reading records."""


class RecordError(ValueError):
    """A record that this version can't read."""


class MalformedKeyError(RecordError):
    """A key whose parts after the kind don't have the expected form."""

    def __init__(self, kind: str, suffix: str) -> None:
        super().__init__(f"malformed key of a {kind}: {suffix!r}")


class MalformedValueError(RecordError):
    """A value that doesn't have the form of its kind of record."""

    def __init__(self, kind: str, reason: Exception) -> None:
        super().__init__(f"malformed {kind}: {type(reason).__name__}: {reason}")
