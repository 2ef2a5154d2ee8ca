"""The labels of a request, such as `c=read,d=480`, and the errors of a request that cannot be served."""

from __future__ import annotations

from lupinladder.errors import LupinladderError


class RequestSyntaxError(LupinladderError):
    """A request that a server cannot read."""


class LabelSyntaxError(RequestSyntaxError):
    """Labels are not a list of names and values."""

    def __init__(self) -> None:
        super().__init__("labels are not names and values")


class UnknownClassError(RequestSyntaxError):
    """The labels name no class, or one that does not exist."""

    def __init__(self, name: bytes) -> None:
        super().__init__(repr(name))
        self.name = name


class ArgumentCountError(RequestSyntaxError):
    """A command has too few or too many arguments."""

    def __init__(self) -> None:
        super().__init__("wrong number of words")


def parse_labels(text: bytes) -> dict[bytes, bytes]:
    """`c=read,d=480` as names and values; LabelSyntaxError if it is anything else."""
    pairs = [pair.split(b"=", 1) for pair in text.split(b",")]
    if any(len(pair) != 2 for pair in pairs):
        raise LabelSyntaxError
    return {name: value for name, value in pairs}
