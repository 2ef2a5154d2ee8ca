"""The settings of the operator's file, a TOML file that LUPINLADDER_OPERATOR names.

`deploy/operator.example.toml` is an example with every setting; docs/recovery.md explains them.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from lupinladder.operator_config import toml_decoder
from lupinladder.operator_config.toml_decoder import ConstraintError

SCHEMA = 1  # the supported version of the file's format
STORE_BOUNDS: dict[str, tuple[float, float]] = {  # lowest and highest value of each setting
    "bytes": (1 << 16, 1 << 30),
    "bytes_per_s": (1000, 1e9),
    "every_ms": (50, 60_000),
}


class StoreSettings(msgspec.Struct, forbid_unknown_fields=True):
    """The table `[store]`: where the proxy stores its state, and the limits on size and writing."""

    path: str  # {name} is replaced by the proxy's name
    bytes: int = 4 << 20  # maximum size of the file
    bytes_per_s: float = 64_000.0  # maximum mean write rate
    sync: bool = True  # whether each flush is synced to disk before it returns
    every_ms: float = 1000.0  # interval between checks for changes

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
    """The whole file. A feature without a table in the file is off."""

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
    """Load the operator's file. Raises TomlError, whose message is one line, for every error in it."""
    return toml_decoder.load(Path(path), OperatorSettings)
