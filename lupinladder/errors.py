"""The base of the errors that lupinladder raises."""


class LupinladderError(Exception):
    """An error that lupinladder raises, as opposed to one of the language or of a library."""
