"""The configuration that the platform hands a proxy."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from lupinladder.balancing.settings import Settings
from lupinladder.balancing.settings_reader import parse_settings, read_value
from lupinladder.net.client_command import MAX_STORED_VALUE_BYTES
from lupinladder.net.connection import Address
from lupinladder.net.discovery.endpoint_parser import EndpointParser, parse_address

RESERVED_DESCRIPTORS = (
    24  # descriptors for the standard streams, the selector, the signal's pipe, files of the library
)
BYTES_PER_OPEN_REQUEST = (
    3 * MAX_STORED_VALUE_BYTES
)  # bytes that one open query may hold: read, on its way out, and spare


class ConfigError(Exception):
    """A configuration that cannot be used; the text is one line."""


@dataclass(slots=True)
class ProxyConfig:
    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: Settings
    classes: list[str]
    tenants: list[str]
    zones: list[str]
    kinds: list[str]
    listing: EndpointParser
    origin_kind: int
    idle_ms: float
    connect_ms: float
    streams: int
    max_open: int
    sockets: int
    known: Any


def load(env: Mapping[str, str]) -> ProxyConfig:
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


def parse(text: str) -> ProxyConfig:
    """ValueError for whatever is missing or wrong."""
    tree = json.loads(text)
    told = read_value(tree, "settings", dict)
    settings = parse_settings(json.dumps(told))
    zones = [str(zone) for zone in read_value(told, "zones", list)]
    kinds = [str(kind) for kind in read_value(told, "kinds", list)]
    listing, known = EndpointParser(zones, kinds), read_value(tree, "known", dict)
    listing.read(known)
    memory = read_value(tree, "limits.memory_mb", float) * (1 << 20)
    return ProxyConfig(
        name=read_value(tree, "name", str),
        listen=parse_address(read_value(tree, "listen", str)),
        discovery=parse_address(read_value(tree, "discovery", str)),
        seed=int(read_value(tree, "seed", str), 16),
        settings=settings,
        classes=[read_value(one, "name", str) for one in told["classes"]],
        tenants=[read_value(one, "name", str) for one in read_value(told, "tenants", list, [])],
        zones=zones,
        kinds=kinds,
        listing=listing,
        origin_kind=settings.origin_kind,
        idle_ms=read_value(told, "ceilings.conn-idle-ms", float),
        connect_ms=read_value(told, "ceilings.connect-timeout-ms", float),
        streams=read_value(told, "ceilings.streams-per-conn", int, 1),
        # Half of the memory for values: the rest is for the interpreter, rings and what is kept of clients.
        max_open=min(
            read_value(told, "ceilings.max-open", int), max(int(memory / 2 / BYTES_PER_OPEN_REQUEST), 1)
        ),
        sockets=read_value(tree, "limits.sockets", int) - RESERVED_DESCRIPTORS,
        known=known,
    )
