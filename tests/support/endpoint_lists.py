"""Endpoint lists and a configuration as discovery and the platform write them."""

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


def listing(**more: object) -> dict[str, object]:
    return {"index": 4, "snapshot": True, "endpoints": [{**ENTRY, **more}]}


def configuration() -> dict[str, Any]:
    told = json.loads(json.dumps(SETTINGS))
    told["ceilings"] |= {"conn-idle-ms": 9000.0, "connect-timeout-ms": 120.0, "max-open": 20000}
    told["classes"][0]["name"] = "read"
    told |= {"zones": ["a", "b"], "kinds": ["m2", "origin"], "tenants": []}
    told["family-info"] = {"mode": "aside", "origin-kind": 1}
    return {
        "name": "n0",
        "listen": "127.0.0.1:7001",
        "discovery": "127.0.0.1:7002",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": listing(),
        "settings": told,
    }
