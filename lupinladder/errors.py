"""The base of the errors that the project's own code raises."""


class LupinladderError(Exception):
    """Any error that this project defines; its subclasses carry their facts as attributes."""
