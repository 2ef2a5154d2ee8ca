"""An endpoint list in the format of discovery, and a proxy configuration in the format of the platform."""

from __future__ import annotations

import json
from typing import Any

from lupinladder.net.discovery.endpoint_parser import EndpointParser
from tests.simulator.test_codec import SETTINGS

ENTRY = {
    "name": "s-1",
    "address": "127.0.0.1:6379",
    "zone": "b",
    "type": "origin",
    "group": 3,
    "status": "active",
    "weight": 1.0,
    "since_ms": 1796120872235,  # Unix time in ms, as for a recently started server
}

PARSER = EndpointParser(["a", "b"], ["m2", "origin"])


def endpoint_snapshot(**changes: object) -> dict[str, object]:
    """Return a snapshot that holds only the endpoint `ENTRY`, with these fields changed."""
    return {"index": 4, "snapshot": True, "endpoints": [{**ENTRY, **changes}]}


def configuration() -> dict[str, Any]:
    """Return a proxy configuration in the format of the platform."""
    settings = json.loads(json.dumps(SETTINGS))
    settings["ceilings"] |= {"conn-idle-ms": 9000.0, "connect-timeout-ms": 120.0, "max-open": 20000}
    settings["classes"][0]["name"] = "read"
    settings |= {"zones": ["a", "b"], "kinds": ["m2", "origin"], "tenants": []}
    settings["family-info"] = {"mode": "aside", "origin-kind": 1}
    return {
        "name": "n0",
        "listen": "127.0.0.1:7001",
        "discovery": "127.0.0.1:7002",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": endpoint_snapshot(),
        "settings": settings,
    }
