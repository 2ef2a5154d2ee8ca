"""The operator's file: TOML, named by LUPINLADDER_OPERATOR, checked with the line of each fault.

An example with every setting is `deploy/operator.example.toml`; docs/recovery.md says what they do.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from lupinladder.operator_config import toml_decoder
from lupinladder.operator_config.toml_decoder import ConstraintError

VARIABLE = "LUPINLADDER_OPERATOR"


class StoreSettings(msgspec.Struct, forbid_unknown_fields=True):
    """What the proxy keeps over a restart."""

    path: str  # {name} stands for the proxy's name
    bytes: int = 4 << 20  # of the file, at most
    bytes_per_s: float = 64_000.0  # written, in the mean
    sync: bool = True  # each flush reaches the disk before the next
    every_ms: float = 1000.0  # between looks at what has changed


class OperatorSettings(msgspec.Struct, forbid_unknown_fields=True):
    schema: int = 1
    store: StoreSettings | None = None

    def check(self) -> None:
        """Wrong for values that cannot hold."""
        if self.schema != 1:
            raise ConstraintError("schema", f"this program reads schema 1, not {self.schema}")
        if self.store:
            bounds: list[tuple[str, float, float, float]] = [
                ("bytes", self.store.bytes, 1 << 16, 1 << 30),
                ("bytes_per_s", self.store.bytes_per_s, 1000, 1e9),
                ("every_ms", self.store.every_ms, 50, 60_000),
            ]
            for name, value, low, high in bounds:
                if not low <= value <= high:
                    raise ConstraintError(
                        f"store.{name}", f"{value:g} is out of range, expected {low:g} to {high:g}"
                    )
            if not Path(self.store.path.replace("{name}", "n")).is_absolute():
                raise ConstraintError(
                    "store.path", "expected a path from the root: a proxy may start in any folder"
                )


def load(path: str) -> OperatorSettings:
    """Read it. tomlfile.Bad, one line, for every fault."""
    return toml_decoder.load(Path(path), OperatorSettings)
