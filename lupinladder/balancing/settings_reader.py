"""Reads the balancer's settings from JSON text, for the proxy and the simulator."""

from __future__ import annotations

import json
from typing import Any

from lupinladder.balancing.settings import DeduplicationScope, RequestClass, RetrySafety, Settings
from lupinladder.errors import LupinladderError

VALUE_BOUND = 1e12  # upper bound of times and rates

_MISSING = object()


class SettingsError(LupinladderError, ValueError):
    """Settings that cannot be used; the message names the key and its value."""


def read_value(tree: Any, path: str, expected: type, default: Any = _MISSING) -> Any:
    """The value at a dotted path of a JSON tree. An integer is converted where a float is expected.

    Raises SettingsError if a required value is missing, or if a value has a wrong type or is out of range.
    """
    value = _look_up(tree, path)
    if value is _MISSING:
        if default is _MISSING:
            message = f"settings: {path} is missing"
            raise SettingsError(message)
        return default
    if expected is float and isinstance(value, int) and not isinstance(value, bool):
        value = float(value)
    if not isinstance(value, expected) or (isinstance(value, bool) and expected is not bool):
        message = f"settings: {path} is {value!r}, not a {expected.__name__}"
        raise SettingsError(message)
    if isinstance(value, float) and not 0 <= value < VALUE_BOUND:
        message = f"settings: {path} is {value!r}, out of range"
        raise SettingsError(message)
    return value


def parse_settings(text: str) -> Settings:
    """Parse the settings from JSON text. Unknown keys are ignored; raises SettingsError."""
    try:
        tree = json.loads(text)
    except ValueError as error:
        message = f"settings: not JSON: {error}"
        raise SettingsError(message) from None
    classes = _read_classes(tree)
    is_polled = _read_choice(tree, "membership-mode", ("ask", "push")) == "ask"
    cache_aside = _read_choice(tree, "family-info.mode", ("through", "aside"), "through") == "aside"
    balancer_count = _read_count(tree, "n-instances")
    max_attempts = _read_count(tree, "ceilings.max-attempts")
    return Settings(
        classes=classes,
        balancer_count=balancer_count,
        balancer_index=read_value(tree, "me", int),
        zone=read_value(tree, "zone", int, 0),
        poll_endpoints=is_polled,
        poll_interval=read_value(tree, "obligations.ask-within-ms", float, 0.0),
        cache_aside=cache_aside,
        origin_kind=read_value(tree, "family-info.origin-kind", int, -1),
        max_attempts=max_attempts,
        may_duplicate=read_value(tree, "ceilings.may-duplicate", bool, False),
        may_cancel=read_value(tree, "ceilings.cancel", bool, False),
        may_probe=read_value(tree, "ceilings.probes", bool, False),
        max_retry_after=_read_max_retry_after(tree),
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


def _look_up(tree: Any, path: str) -> Any:
    node = tree
    for key in path.split("."):
        if not isinstance(node, dict) or key not in node:
            return _MISSING
        node = node[key]
    return node


def _read_choice(tree: Any, path: str, choices: tuple[str, ...], default: Any = _MISSING) -> str:
    value: str = read_value(tree, path, str, default)
    if value not in choices:
        message = f"settings: {path} is {value!r}, expected {' or '.join(choices)}"
        raise SettingsError(message)
    return value


def _read_count(tree: Any, path: str) -> int:
    value: int = read_value(tree, path, int)
    if value < 1:
        message = f"settings: {path} is {value}, expected at least 1"
        raise SettingsError(message)
    return value


def _read_max_retry_after(tree: Any) -> float:
    """The longest pause that clients may be told to make; 0 if they ignore such pauses."""
    if not read_value(tree, "ceilings.retry-after", bool, False):
        return 0.0
    value: float = read_value(tree, "ceilings.max-retry-after-ms", float, 0.0)
    return value


def _read_classes(tree: Any) -> list[RequestClass]:
    classes = [_read_class(entry, index) for index, entry in enumerate(read_value(tree, "classes", list))]
    if not classes:
        message = "settings: classes is empty"
        raise SettingsError(message)
    return classes


def _read_class(tree: Any, index: int) -> RequestClass:
    try:
        latency_objective = read_value(tree, "goal-time-ms", float)
        deadline = read_value(tree, "deadline-ms", float)
        if deadline <= 0 or latency_objective <= 0:
            message = "settings: goal-time-ms and deadline-ms must be above 0"
            raise SettingsError(message)
        return RequestClass(
            latency_objective,
            deadline,
            retry_safety=RetrySafety(read_value(tree, "repeat", str)),
            deduplication_scope=DeduplicationScope(read_value(tree, "key-scope", str, None) or "all"),
            deduplication_window=read_value(tree, "window-ms", float, 0.0),
            priority_weight=read_value(tree, "worth", float, 1.0),
            late_weight=read_value(tree, "late-worth", float, 0.0),
            stream=read_value(tree, "stream", bool, False),
        )
    except ValueError as error:
        message = f"{error} (class {index})"
        raise SettingsError(message) from None
