"""Generates the `settings` of a proxy's configuration file for a scenario (format: DEPLOY and WIRE)."""

from __future__ import annotations

from typing import Any

from lupinladder.emulator.scenario import ClusterConfig, RequestClassConfig, Scenario

TENANT_QUOTA_FACTOR = 2  # times a tenant's rate at the highest load, as its load is uneven over the proxies


def build_settings(scenario: Scenario, number: int, zone: int) -> dict[str, Any]:
    """Return the settings of the proxy `number`. `zone` is the index of its zone."""
    cluster = scenario.fleet
    return {
        "ceilings": _ceilings(cluster),
        "classes": [_request_class(request_class) for request_class in scenario.classes],
        "clients": {"marks-retry": False},
        "family": "cache",
        "family-info": {
            "mode": "aside",
            "origin-kind": 1,
            "origin-fall-ms": scenario.origin.fall_s * 1000,
            "origin-fall-multiple": scenario.origin.fall_multiple,
        },
        "kinds": ["small-1", "origin"],
        "me": number,
        "membership-mode": "ask",
        "n-instances": scenario.proxies.count,
        "obligations": _obligations(cluster),
        "over-share-worth": 0.1,
        "reporting": {
            "fields": ["fail_rate", "lat_ms", "rate", "rif"] if cluster.reports else [],
            "via": "answers" if cluster.reports else "none",
        },
        "tenants": _tenants(scenario),
        "weights": "none",
        "zone": zone,
        "zones": cluster.zones,
    }


def _ceilings(cluster: ClusterConfig) -> dict[str, Any]:
    return {
        "cancel": True,
        "conn-idle-ms": cluster.idle_s * 1000,
        "connect-timeout-ms": 120.0,
        "max-attempts": 6,
        "max-open": 20000,
        "max-retry-after-ms": 2000.0,
        "may-duplicate": True,
        "peers": True,
        "probes": cluster.probes,
        "retry-after": True,
        "streams-per-conn": cluster.streams,
    }


def _request_class(request_class: RequestClassConfig) -> dict[str, Any]:
    return {
        "name": request_class.name,
        "goal-time-ms": request_class.latency_objective_ms,
        "deadline-ms": request_class.deadline_ms,
        "worth": request_class.priority_weight,
        "repeat": request_class.repeat,
        "key-scope": "all",
        "window-ms": request_class.window_ms,
        "late-worth": 0.0,
        "stream": False,
    }


def _obligations(cluster: ClusterConfig) -> dict[str, Any]:
    return {
        "ask-within-ms": 10000.0,
        "cold-ms": cluster.cold_s * 1000,
        "cold-share": cluster.cold_share,
        "fall-ms": 1000.0,
        "grace-to-answer-ms": 20.0,
        "overload-factor": 3.0,
        "stop-sending-within-ms": 1500.0,
    }


def _tenants(scenario: Scenario) -> list[dict[str, Any]]:
    highest_rate = max(max(phase.rate, phase.to or 0) for phase in scenario.load)
    return [
        {"name": name, "quota-per-s": TENANT_QUOTA_FACTOR * share * highest_rate, "fraction": share}
        for name, share in scenario.clients.tenants.items()
    ]
