"""The configuration that the platform hands a proxy."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from lupinladder import api, wire
from lupinladder.net.command import MAX_VALUE
from lupinladder.net.connection import Address
from lupinladder.net.host_group import Listing, address_of

RESERVE = 24  # descriptors for the standard streams, the selector, the signal's pipe, files of the library
OPEN_COST = 3 * MAX_VALUE  # bytes that one open query may hold: read, on its way out, and spare


class ConfigError(Exception):
    """A configuration that cannot be used; the text is one line."""


@dataclass(slots=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: api.Settings
    classes: list[str]
    tenants: list[str]
    zones: list[str]
    kinds: list[str]
    listing: Listing
    origin_kind: int
    idle_ms: float
    connect_ms: float
    streams: int
    max_open: int
    sockets: int
    known: Any


def load(env: Mapping[str, str]) -> Config:
    """Read the file that GW_CONFIG names."""
    path = env.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG is not set")
    try:
        return parse(Path(path).read_text())
    except OSError as bad:
        raise ConfigError(f"{path}: {bad.strerror}") from None
    except (ValueError, RecursionError) as bad:
        raise ConfigError(f"{path}: {bad}".replace("\n", " ")) from None


def parse(text: str) -> Config:
    """ValueError for whatever is missing or wrong."""
    tree = json.loads(text)
    told = wire.read(tree, "settings", dict)
    settings = wire.settings(json.dumps(told))
    zones = [str(zone) for zone in wire.read(told, "zones", list)]
    kinds = [str(kind) for kind in wire.read(told, "kinds", list)]
    listing, known = Listing(zones, kinds), wire.read(tree, "known", dict)
    listing.read(known)
    memory = wire.read(tree, "limits.memory_mb", float) * (1 << 20)
    return Config(
        name=wire.read(tree, "name", str),
        listen=address_of(wire.read(tree, "listen", str)),
        discovery=address_of(wire.read(tree, "discovery", str)),
        seed=int(wire.read(tree, "seed", str), 16),
        settings=settings,
        classes=[wire.read(one, "name", str) for one in told["classes"]],
        tenants=[wire.read(one, "name", str) for one in wire.read(told, "tenants", list, [])],
        zones=zones,
        kinds=kinds,
        listing=listing,
        origin_kind=settings.origin_kind,
        idle_ms=wire.read(told, "ceilings.conn-idle-ms", float),
        connect_ms=wire.read(told, "ceilings.connect-timeout-ms", float),
        streams=wire.read(told, "ceilings.streams-per-conn", int, 1),
        # Half of the memory for values: the rest is for the interpreter, rings and what is kept of clients.
        max_open=min(wire.read(told, "ceilings.max-open", int), max(int(memory / 2 / OPEN_COST), 1)),
        sockets=wire.read(tree, "limits.sockets", int) - RESERVE,
        known=known,
    )
