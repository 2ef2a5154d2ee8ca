"""The base of the errors that this package raises."""


class LupinladderError(Exception):
    """The base class of all errors of this package."""
