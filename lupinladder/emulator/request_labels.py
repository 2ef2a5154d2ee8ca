"""Parses the labels of a request, such as `c=read,d=480`, and defines the errors of invalid requests.

The texts of the errors are sent to the proxy.
"""

from __future__ import annotations

from lupinladder.errors import LupinladderError


class RequestSyntaxError(LupinladderError):
    """A request is invalid."""


class LabelSyntaxError(RequestSyntaxError):
    """The labels are not a list of names and values."""

    def __init__(self) -> None:
        super().__init__("labels are not names and values")


class UnknownClassError(RequestSyntaxError):
    """The labels name no class or an unknown one."""

    def __init__(self, name: bytes) -> None:
        super().__init__(repr(name))
        self.name = name


class ArgumentCountError(RequestSyntaxError):
    """A command has too few or too many arguments."""

    def __init__(self) -> None:
        super().__init__("wrong number of words")


def parse_labels(text: bytes) -> dict[bytes, bytes]:
    """Return labels such as `c=read,d=480` by name. Raises LabelSyntaxError if they are malformed."""
    pairs = [pair.split(b"=", 1) for pair in text.split(b",")]
    if any(len(pair) != 2 for pair in pairs):
        raise LabelSyntaxError
    return {name: value for name, value in pairs}
