"""An endpoint list as discovery writes it, and a configuration as the platform does."""

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
    "since_ms": 1796120872235,  # a time of day, as a server that started lately has
}

PARSER = EndpointParser(["a", "b"], ["m2", "origin"])


def listing(**changes: object) -> dict[str, object]:
    """A whole list of one endpoint, with these fields changed."""
    return {"index": 4, "snapshot": True, "endpoints": [{**ENTRY, **changes}]}


def configuration() -> dict[str, Any]:
    """A proxy's configuration as the platform writes it."""
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
        "known": listing(),
        "settings": settings,
    }
