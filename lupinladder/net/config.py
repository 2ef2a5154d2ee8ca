"""Loads the proxy's configuration from the platform and the optional settings of the operator."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any

from lupinladder.balancing.settings import Settings
from lupinladder.balancing.settings_reader import parse_settings, read_value
from lupinladder.errors import LupinladderError
from lupinladder.net.client_command import MAX_COMMAND_BYTES, MAX_STORED_VALUE_BYTES
from lupinladder.net.connection import Address
from lupinladder.net.discovery.endpoint_parser import EndpointParser, parse_address

if TYPE_CHECKING:  # at run time, imported only if there is an operator's file
    from lupinladder.operator_config.settings import OperatorSettings

CONFIG_VARIABLE = "GW_CONFIG"
OPERATOR_VARIABLE = "LUPINLADDER_OPERATOR"

# Descriptors for the standard streams, the selector, the signal sockets and files of the standard library.
RESERVED_DESCRIPTORS = 24
# Maximum memory for the values of one open request: one being read, one being sent, and one spare.
BYTES_PER_OPEN_REQUEST = 3 * MAX_STORED_VALUE_BYTES
# Share of the memory limit for values; the rest is for the interpreter, the buffers and the clients' state.
MEMORY_SHARE_FOR_VALUES = 0.5
BYTES_PER_MB = 1 << 20
# Memory for the interpreter, the code and the endpoint list.
BASE_MEMORY_BYTES = 24 * BYTES_PER_MB
# Share of the remaining memory for what connections keep; the rest is for copies in transit, requests whose
# clients have left, and the fragmentation of the heap.
MEMORY_SHARE_FOR_BUFFERS = 0.5
MIN_BUFFERED_BYTES = 4 * BYTES_PER_MB  # the largest reply, its copy for the client, and smaller messages


class ConfigError(LupinladderError):
    """A configuration cannot be used; the message is one line."""


class ConfigUnreadableError(ConfigError, OSError):
    """A configuration file cannot be read, possibly only for now; `errno` is that of the system call."""

    def __init__(self, path: str, error: OSError) -> None:
        super().__init__(f"{path}: {error.strerror}")
        self.errno = error.errno


@dataclass(slots=True)
class ProxyConfig:
    """The validated configuration of one proxy."""

    name: str
    listen_address: Address
    discovery_address: Address
    seed: int
    settings: Settings  # of the balancer
    classes: list[str]  # names of the request classes, ordered by index
    tenants: list[str]
    zones: list[str]
    kinds: list[str]  # names of the server kinds, ordered by index
    endpoint_parser: EndpointParser
    origin_kind: int
    idle_timeout_ms: float  # time after which a server closes an idle connection
    connect_timeout_ms: float
    streams_per_connection: int
    max_open_requests: int
    max_buffered_bytes: int  # in the buffers of all connections and in incomplete or unsent messages
    max_descriptors: int  # for connections, without the reserved descriptors
    endpoint_list: dict[str, Any]  # last known endpoint list in discovery's format


def load(env: Mapping[str, str]) -> ProxyConfig:
    """Load the configuration file that GW_CONFIG names.

    Raises ConfigError if it cannot be used, ConfigUnreadableError if it cannot be read.
    """
    path = env.get(CONFIG_VARIABLE)
    if not path:
        message = f"{CONFIG_VARIABLE} is not set"
        raise ConfigError(message)
    try:
        return parse(Path(path).read_text())
    except OSError as error:
        raise ConfigUnreadableError(path, error) from None
    except (ValueError, RecursionError) as error:
        message = f"{path}: {error}".replace("\n", " ")
        raise ConfigError(message) from None


def parse(text: str) -> ProxyConfig:
    """Parse a configuration in JSON. Raises ValueError if anything is missing or invalid."""
    tree = json.loads(text)
    settings_tree = read_value(tree, "settings", dict)
    settings = parse_settings(json.dumps(settings_tree))
    zones = [str(zone) for zone in read_value(settings_tree, "zones", list)]
    kinds = [str(server_kind) for server_kind in read_value(settings_tree, "kinds", list)]
    endpoint_parser = EndpointParser(zones, kinds)
    endpoint_list = read_value(tree, "known", dict)
    endpoint_parser.check(endpoint_list)  # an invalid list is rejected here, not at its first use
    tenants = read_value(settings_tree, "tenants", list, [])
    return ProxyConfig(
        name=read_value(tree, "name", str),
        listen_address=parse_address(read_value(tree, "listen", str)),
        discovery_address=parse_address(read_value(tree, "discovery", str)),
        seed=int(read_value(tree, "seed", str), 16),
        settings=settings,
        classes=[read_value(request_class, "name", str) for request_class in settings_tree["classes"]],
        tenants=[read_value(tenant, "name", str) for tenant in tenants],
        zones=zones,
        kinds=kinds,
        endpoint_parser=endpoint_parser,
        origin_kind=settings.origin_kind,
        idle_timeout_ms=read_value(settings_tree, "ceilings.conn-idle-ms", float),
        connect_timeout_ms=read_value(settings_tree, "ceilings.connect-timeout-ms", float),
        streams_per_connection=read_value(settings_tree, "ceilings.streams-per-conn", int, 1),
        max_open_requests=_max_open_requests(tree, settings_tree),
        max_buffered_bytes=_max_buffered_bytes(tree),
        max_descriptors=read_value(tree, "limits.sockets", int) - RESERVED_DESCRIPTORS,
        endpoint_list=endpoint_list,
    )


def _max_open_requests(tree: Any, settings_tree: Any) -> int:
    """Return the maximum number of open requests: that of the settings, reduced to what fits in memory."""
    configured_maximum = read_value(settings_tree, "ceilings.max-open", int)
    maximum_in_memory = int(_memory_limit(tree) * MEMORY_SHARE_FOR_VALUES / BYTES_PER_OPEN_REQUEST)
    maximum_in_buffers = _max_buffered_bytes(tree) // MAX_COMMAND_BYTES
    return int(min(configured_maximum, max(maximum_in_memory, 1), maximum_in_buffers))


def _max_buffered_bytes(tree: Any) -> int:
    """Return the maximum number of bytes that connections may keep within the memory limit."""
    available = _memory_limit(tree) - BASE_MEMORY_BYTES
    return max(int(available * MEMORY_SHARE_FOR_BUFFERS), MIN_BUFFERED_BYTES)


def _memory_limit(tree: Any) -> float:
    """Return the memory limit of the process in bytes."""
    memory_mb: float = read_value(tree, "limits.memory_mb", float)
    return memory_mb * BYTES_PER_MB


def load_operator_settings(env: Mapping[str, str]) -> OperatorSettings | None:
    """Load the operator's file that LUPINLADDER_OPERATOR names.

    Returns None if the variable is not set. Raises ConfigError if the file cannot be used.
    """
    path = env.get(OPERATOR_VARIABLE)
    if not path:
        return None
    try:
        # Imported here so that a start without an operator's file needs none of their packages.
        from lupinladder.operator_config import settings
        from lupinladder.operator_config.toml_decoder import TomlError
    except ModuleNotFoundError as error:
        remedy = f"needs the package {error.name}: pip install 'lupinladder[operator]'"
        message = f"{OPERATOR_VARIABLE} {remedy}"
        raise ConfigError(message) from None
    try:
        return settings.load(path)
    except TomlError as error:
        raise ConfigError(str(error)) from None
