"""The base class of the project's own errors."""


class LupinladderError(Exception):
    """Base of all errors that this project defines. Subclasses store the details in attributes."""
