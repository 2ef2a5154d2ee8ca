"""The operator's file: TOML, named by LUPINLADDER_OPERATOR, checked with the line of each fault.

An example with every setting is `deploy/operator.example.toml`; docs/recovery.md says what they do.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from lupinladder.operator_config import toml_decoder
from lupinladder.operator_config.toml_decoder import ConstraintError

SCHEMA = 1  # the version of the file's form that this program reads
STORE_BOUNDS: dict[str, tuple[float, float]] = {  # the lowest and the highest value of a setting
    "bytes": (1 << 16, 1 << 30),
    "bytes_per_s": (1000, 1e9),
    "every_ms": (50, 60_000),
}


class StoreSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The table `[store]`: where the proxy stores what it keeps over a restart, and how much of it."""

    path: str  # {name} stands for the proxy's name
    bytes: int = 4 << 20  # of the file, at most
    bytes_per_s: float = 64_000.0  # written, in the mean
    sync: bool = True  # each flush reaches the disk before the next
    every_ms: float = 1000.0  # between looks at what has changed

    def check(self) -> None:
        """Raise ConstraintError for a value that cannot be used."""
        for name, (lowest, highest) in STORE_BOUNDS.items():
            value = getattr(self, name)
            if not lowest <= value <= highest:
                problem = f"{value:g} is out of range, expected {lowest:g} to {highest:g}"
                raise ConstraintError(path=f"store.{name}", problem=problem)
        if not Path(self.path.replace("{name}", "n")).is_absolute():
            problem = "expected a path from the root: a proxy may start in any folder"
            raise ConstraintError(path="store.path", problem=problem)


class OperatorSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The whole file. What it has no table for stays off."""

    schema: int = SCHEMA
    store: StoreSettings | None = None

    def check(self) -> None:
        """Raise ConstraintError for a value that cannot be used."""
        if self.schema != SCHEMA:
            problem = f"this program reads schema {SCHEMA}, not {self.schema}"
            raise ConstraintError(path="schema", problem=problem)
        if self.store:
            self.store.check()


def load(path: str) -> OperatorSettings:
    """Read the file. TomlError, whose text is one line, for every fault."""
    return toml_decoder.load(Path(path), OperatorSettings)
