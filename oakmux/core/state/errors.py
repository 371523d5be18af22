"""Errors raised while reading records."""


class RecordError(ValueError):
    """This version can't read the record."""


class MalformedKeyError(RecordError):
    """The part of a key after the record kind doesn't have the expected form."""

    def __init__(self, kind: str, suffix: str) -> None:
        super().__init__(f"malformed key of a {kind}: {suffix!r}")


class MalformedValueError(RecordError):
    """A value doesn't have the form expected for its record kind."""

    def __init__(self, kind: str, reason: Exception) -> None:
        super().__init__(f"malformed {kind}: {type(reason).__name__}: {reason}")
