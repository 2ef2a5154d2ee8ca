"""Reads the balancer's settings from their JSON text, for the proxy and the simulator."""

from __future__ import annotations

import json
from typing import Any

from lupinladder.balancing.settings import DeduplicationScope, RequestClass, RetrySafety, Settings

_MISSING = object()


def read_value(tree: Any, path: str, kind: type, default: Any = _MISSING) -> Any:
    """The value at a dotted path. A required one that is missing, or any of a wrong kind, is an error."""
    node = tree
    for part in path.split("."):
        node = node.get(part, _MISSING) if isinstance(node, dict) else _MISSING
        if node is _MISSING:
            break
    if node is _MISSING:
        if default is _MISSING:
            raise ValueError(f"settings: {path} is missing")
        return default
    if kind is float and isinstance(node, int) and not isinstance(node, bool):
        node = float(node)
    if not isinstance(node, kind) or (isinstance(node, bool) and kind is not bool):
        raise ValueError(f"settings: {path} is {node!r}, not a {kind.__name__}")
    if isinstance(node, float) and not 0 <= node < 1e12:
        raise ValueError(f"settings: {path} is {node!r}, out of range")
    return node


def _request_class(tree: Any, n: int) -> RequestClass:
    try:
        aim, deadline = read_value(tree, "goal-time-ms", float), read_value(tree, "deadline-ms", float)
        if deadline <= 0 or aim <= 0:
            raise ValueError("settings: goal-time-ms and deadline-ms are above 0")
        return RequestClass(
            aim,
            deadline,
            RetrySafety(read_value(tree, "repeat", str)),
            DeduplicationScope(read_value(tree, "key-scope", str, None) or "all"),
            read_value(tree, "window-ms", float, 0.0),
            read_value(tree, "worth", float, 1.0),
            read_value(tree, "late-worth", float, 0.0),
            read_value(tree, "stream", bool, False),
        )
    except ValueError as bad:
        raise ValueError(f"{bad} (class {n})") from None


def parse_settings(text: str) -> Settings:
    """The settings, from their JSON text. Unknown keys are skipped."""
    try:
        tree = json.loads(text)
    except ValueError as bad:
        raise ValueError(f"settings: not JSON: {bad}") from None
    classes = [_request_class(c, n) for n, c in enumerate(read_value(tree, "classes", list))]
    if not classes:
        raise ValueError("settings: classes is empty")
    mode = read_value(tree, "membership-mode", str)
    if mode not in ("ask", "push"):
        raise ValueError(f"settings: membership-mode is {mode!r}")
    cache = read_value(tree, "family-info.mode", str, "through")
    if cache not in ("through", "aside"):
        raise ValueError(f"settings: family-info.mode is {cache!r}")
    count = read_value(tree, "n-instances", int)
    if count < 1:
        raise ValueError(f"settings: n-instances is {count}")
    attempts = read_value(tree, "ceilings.max-attempts", int)
    if attempts < 1:
        raise ValueError(f"settings: ceilings.max-attempts is {attempts}")
    advises = read_value(tree, "ceilings.retry-after", bool, False)
    return Settings(
        classes=classes,
        balancer_count=count,
        balancer_index=read_value(tree, "me", int),
        zone=read_value(tree, "zone", int, 0),
        poll_endpoints=mode == "ask",
        poll_interval=read_value(tree, "obligations.ask-within-ms", float, 0.0),
        cache_aside=cache == "aside",
        origin_kind=read_value(tree, "family-info.origin-kind", int, -1),
        max_attempts=attempts,
        may_duplicate=read_value(tree, "ceilings.may-duplicate", bool, False),
        may_cancel=read_value(tree, "ceilings.cancel", bool, False),
        may_probe=read_value(tree, "ceilings.probes", bool, False),
        max_retry_after=read_value(tree, "ceilings.max-retry-after-ms", float, 0.0) if advises else 0.0,
        drain_grace_period=read_value(tree, "obligations.stop-sending-within-ms", float),
        initial_capacity=read_value(tree, "obligations.cold-share", float),
        warmup_time=read_value(tree, "obligations.cold-ms", float),
        overload_factor=read_value(tree, "obligations.overload-factor", float),
        overload_duration=read_value(tree, "obligations.fall-ms", float),
        tenant_quotas=[read_value(t, "quota-per-s", float) for t in read_value(tree, "tenants", list, [])],
        over_quota_weight=read_value(tree, "over-share-worth", float, 1.0),
        live_weights=read_value(tree, "weights", str, "none") == "live",
        report_fields=[str(name) for name in read_value(tree, "reporting.fields", list, [])],
    )
