"""Stand-ins for clients, cache nodes, the origin, discovery and the platform, for the cases of this review.

Everything listens on 127.0.0.1 with free ports and runs in the process of the case. Only the proxies are
separate processes, started with the `run` line of deploy/balancer.toml. Standard library only.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, VOID = 0, 1, 2  # exit codes of a case
CASE_TIMEOUT_S = 105.0  # with the end of all processes a script stays under 120 s
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class VoidError(Exception):
    """The case could not run, so it says nothing about the rule."""


class Record:
    """What was sent, answered and run: one line an event, with the seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self.started_at = time.monotonic()
        self._file = path.open("w")

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")

    def say(self, text: str) -> None:
        """Write one line here and on standard output."""
        self.write(text)
        print(text, flush=True)

    def close(self) -> None:
        """Write everything to the file."""
        self._file.close()


_given_ports = set[int]()


def free_port() -> int:
    """Return a port that is free now and was not returned before."""
    while True:
        with socket.create_server((HOST, 0)) as sock:
            port = int(sock.getsockname()[1])
        if port not in _given_ports:
            _given_ports.add(port)
            return port


def encode_command(*words: bytes) -> bytes:
    """Return a RESP2 command."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(word), word) for word in words)


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Read one RESP2 command. Raises IncompleteReadError at the end of the connection."""
    line = await reader.readuntil(b"\r\n")
    words = list[bytes]()
    for _ in range(int(line[1:])):
        length = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(length + 2))[:-2])
    return words


async def read_reply(reader: asyncio.StreamReader) -> tuple[str, bytes]:
    """Read one answer to a client: its kind (`served`, `busy`, `error`) and its text or value."""
    line = (await reader.readuntil(b"\r\n"))[:-2]
    if line[:1] == b"$" and line != b"$-1":
        return "served", (await reader.readexactly(int(line[1:]) + 2))[:-2]
    if line.startswith(b"-BUSY"):
        return "busy", line
    return "error", line


def made_value(key: bytes, request_id: bytes, size: int) -> bytes:
    """Return the value that a server makes for a request: another one for each request."""
    head = b"%b/%b/" % (key, request_id)
    return head + b"v" * max(size - len(head), 0)


Handler = Callable[[list[bytes], asyncio.StreamWriter], Awaitable[None]]
CONNECTION_ENDS = (asyncio.IncompleteReadError, ConnectionError, OSError)


class Server:
    """Common parts of the servers: a listening socket and the open connections."""

    def __init__(self) -> None:
        self.port = 0
        self.writers = set[asyncio.StreamWriter]()
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Start to listen at a free port."""
        self._server = await asyncio.start_server(self._on_connection, HOST, 0, limit=1 << 21)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        """The address as discovery's list names it."""
        return f"{HOST}:{self.port}"

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (*CONNECTION_ENDS, asyncio.CancelledError):
            pass  # the other side has ended the connection, or the case is over
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server:
            self._server.close()
        for writer in list(self.writers):
            writer.close()


class CacheNode(Server):
    """A cache node. `handle` answers a command; without it each read is a hit after `delay_s`."""

    def __init__(self, name: str, record: Record, delay_s: float = 0.01, value_size: int = 64) -> None:
        super().__init__()
        self.name = name
        self.record = record
        self.delay_s = delay_s
        self.value_size = value_size
        self.handle: Handler | None = None
        self.since_ms = 0
        self.status = "active"
        self.begun = list[tuple[float, bytes]]()  # when the last byte of a command arrived, and its id

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the commands of a connection in order."""
        while True:
            words = await read_command(reader)
            name = words[0].upper()
            if name == b"PING":
                writer.write(b"+PONG\r\n")
                continue
            if name in (b"CLIENT", b"SELECT"):
                writer.write(b"+OK\r\n")
                continue
            if name not in (b"OBJ.GET", b"OBJ.SET"):
                writer.write(b"-ERR unknown command\r\n")
                continue
            self.begun.append((time.monotonic(), words[2]))
            self.record.write(f"node {self.name} got {name.decode()} id={words[2].decode()}")
            await (self.handle or self.hit)(words, writer)
            await writer.drain()

    async def hit(self, words: list[bytes], writer: asyncio.StreamWriter) -> None:
        """Answer with the value made for this request; a write gets a miss, as it belongs to the origin."""
        await asyncio.sleep(self.delay_s)
        if words[0].upper() == b"OBJ.SET":
            await self.miss(words, writer)
            return
        value = made_value(words[1], words[2], self.value_size)
        writer.write(b"*3\r\n$%d\r\n%b\r\n$3\r\nhit\r\n$-1\r\n" % (len(value), value))

    async def miss(self, _words: list[bytes], writer: asyncio.StreamWriter) -> None:
        """Answer that the node lacks the key."""
        writer.write(b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n")

    def entry(self) -> dict[str, Any]:
        """Return the entry of discovery's list."""
        return list_entry(self.name, self.address, "small-1", self.status, self.since_ms)


class Origin(Server):
    """The origin. It answers each request after `delay_s` with a value or a receipt made for it."""

    def __init__(self, record: Record, delay_s: float = 0.02, value_size: int = 64) -> None:
        super().__init__()
        self.record = record
        self.delay_s = delay_s
        self.value_size = value_size
        self.begun = list[tuple[float, bytes]]()  # when the last byte of a request arrived, and its id

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of a connection in order."""
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            method, path, _ = head[0].split(" ", 2)
            headers = {
                name.lower(): value.strip() for name, _, value in (line.partition(":") for line in head[1:])
            }
            await reader.readexactly(int(headers.get("content-length", "0")))
            request_id = headers.get("x-txn", "").encode()
            self.begun.append((time.monotonic(), request_id))
            self.record.write(f"origin got {method} id={request_id.decode()}")
            await asyncio.sleep(self.delay_s)
            body = made_value(path[1:].encode(), request_id, self.value_size)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            await writer.drain()

    def entry(self) -> dict[str, Any]:
        """Return the entry of discovery's list."""
        return list_entry("s-origin", self.address, "origin", "active", 0)


def list_entry(name: str, address: str, kind: str, status: str, since_ms: int) -> dict[str, Any]:
    """Return one entry of discovery's list."""
    return {
        "name": name,
        "address": address,
        "zone": "riga",
        "type": kind,
        "group": 0,
        "status": status,
        "weight": 1.0,
        "since_ms": since_ms,
    }


class Discovery(Server):
    """Discovery: the whole list, and watches with a line for each change and an empty line every 2 s."""

    def __init__(self, record: Record) -> None:
        super().__init__()
        self.record = record
        self.index = 1
        self.entries = dict[str, dict[str, Any]]()
        self.changes = list[tuple[int, dict[str, Any]]]()
        self._changed = asyncio.Event()

    def set(self, entry: dict[str, Any]) -> None:
        """Add or change an entry, as a new version of the list."""
        self.index += 1
        self.entries[entry["name"]] = entry
        if entry["status"] == "left":
            del self.entries[entry["name"]]
        self.changes.append((self.index, entry))
        self._changed.set()
        self._changed = asyncio.Event()

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    def since(self, index: int) -> dict[str, Any]:
        """Return what has changed after a version."""
        changed = {entry["name"]: entry for version, entry in self.changes if version > index}
        return {"index": self.index, "snapshot": False, "endpoints": list(changed.values())}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer a call; a watch lasts until its connection ends."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        target = head.split(" ", 2)[1]
        self.record.write(f"discovery got GET {target}")
        if "stream=1" not in target:
            body = json.dumps(self.whole()).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
            return
        index = int(target.partition("index=")[2].partition("&")[0] or "0")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        update = self.since(index) if 0 < index <= self.index else self.whole()
        while True:
            await self.write_chunk(writer, json.dumps(update).encode() + b"\n")
            index = self.index
            while index == self.index:
                try:
                    await asyncio.wait_for(self._changed.wait(), 2.0)
                except TimeoutError:
                    await self.write_chunk(writer, b"\n")
            update = self.since(index)

    async def write_chunk(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write one chunk of a watch."""
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))
        await writer.drain()


def request_class(name: str, aim: float, deadline: float, repeat: str, window: float) -> dict[str, Any]:
    """Return the settings of one class."""
    return {
        "name": name,
        "goal-time-ms": aim,
        "deadline-ms": deadline,
        "worth": 1.0,
        "repeat": repeat,
        "key-scope": "all",
        "window-ms": window,
        "late-worth": 0.0,
        "stream": False,
    }


def robezas_settings(number: int = 0, proxies: int = 3) -> dict[str, Any]:
    """Return settings like those of robezas-riga, in the form of the wire page."""
    return {
        "ceilings": {
            "cancel": True,
            "conn-idle-ms": 15000.0,
            "connect-timeout-ms": 120.0,
            "cpu-us-per-request": 10.0,
            "cpu-us-per-s": 15000,
            "max-attempts": 6,
            "max-open": 20000,
            "max-retry-after-ms": 2000.0,
            "may-duplicate": True,
            "peers": True,
            "probes": True,
            "retry-after": True,
            "streams-per-conn": 128,
        },
        "classes": [
            request_class("map-view", 300.0, 600.0, "safe", 5000.0),
            request_class("parcel-history", 750.0, 3000.0, "safe", 5000.0),
            request_class("claim-submit", 1200.0, 3000.0, "unsafe", 5000.0),
            request_class("boundary-edit", 2500.0, 5000.0, "keyed", 5000.0),
        ],
        "clients": {"marks-retry": False},
        "family": "cache",
        "family-info": {
            "mode": "aside",
            "origin-fall-ms": 3000.0,
            "origin-fall-multiple": 3.0,
            "origin-kind": 1,
        },
        "kinds": ["small-1", "origin"],
        "me": number,
        "membership-mode": "ask",
        "n-instances": proxies,
        "obligations": {
            "ask-within-ms": 10000.0,
            "cold-ms": 20000.0,
            "cold-share": 0.22,
            "fall-ms": 1000.0,
            "grace-to-answer-ms": 20.0,
            "overload-factor": 3.0,
            "stop-sending-within-ms": 1500.0,
        },
        "over-share-worth": 0.1,
        "reporting": {"fields": [], "via": "none"},
        "tenants": [],
        "weights": "none",
        "zone": 0,
        "zones": ["riga", "jelgava", "valmiera"],
    }


class Proxy:
    """A proxy as the platform starts it: the `run` line of the deploy file, from the repository's root."""

    def __init__(self, platform: Platform, config: dict[str, Any]) -> None:
        self.name: str = config["name"]
        self.port = int(config["listen"].rpartition(":")[2])
        self._folder = platform.folder / self.name
        self._folder.mkdir()
        self.config_path = self._folder / "config.json"
        self.write_config(config)
        self.log_path = self._folder / "log"
        self._log = self.log_path.open("wb")
        (self._folder / "tmp").mkdir()
        env = {
            **os.environ,
            "GW_NAME": self.name,
            "GW_LISTEN": config["listen"],
            "GW_DISCOVERY": config["discovery"],
            "GW_CONFIG": str(self.config_path),
            "TMPDIR": str(self._folder / "tmp"),
        }
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run],
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=self._log,
        )

    def write_config(self, config: dict[str, Any]) -> None:
        """Replace the configuration file in one step."""
        new = self.config_path.with_suffix(".new")
        new.write_text(json.dumps(config))
        new.replace(self.config_path)

    async def until_ready(self) -> None:
        """Wait until the proxy answers PING."""
        for _ in range(300):
            if self.process.poll() is not None:
                break
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(encode_command(b"PING"))
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if line == b"+PONG\r\n":
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        message = f"proxy {self.name} did not become ready: {self.log_path.read_text()[-500:]}"
        raise VoidError(message)

    def memory_mb(self) -> float:
        """Return the resident memory of the process in MB, 0 if it has ended."""
        try:
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the program, if it still runs."""
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process and wait for it."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self._log.close()


class Platform:
    """Starts proxies and ends everything that it started."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.proxies = list[Proxy]()
        self.children = list[subprocess.Popen[bytes]]()

    def start_proxy(
        self,
        discovery: Discovery,
        settings: dict[str, Any],
        memory_mb: int = 192,
        sockets: int = 1024,
    ) -> Proxy:
        """Start one proxy that knows the present list."""
        name = f"n{len(self.proxies)}"
        config = {
            "name": name,
            "listen": f"{HOST}:{free_port()}",
            "discovery": discovery.address,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "known": discovery.whole(),
            "settings": settings,
        }
        proxy = Proxy(self, config)
        self.proxies.append(proxy)
        self.record.write(f"platform started {name} pid={proxy.process.pid} listen={config['listen']}")
        return proxy

    def start_child(self, *arguments: str) -> subprocess.Popen[bytes]:
        """Start a helper of the case in a process of its own."""
        child = subprocess.Popen([sys.executable, *arguments], stdin=subprocess.DEVNULL)
        self.children.append(child)
        return child

    def close(self) -> None:
        """End all processes, copy the ends of the proxies' logs into the record, remove the folder."""
        for child in self.children:
            if child.poll() is None:
                child.kill()
            child.wait()
        for proxy in self.proxies:
            proxy.kill()
            for line in proxy.log_path.read_text(errors="replace").splitlines()[-12:]:
                self.record.write(f"log of {proxy.name}: {line[:600]}")
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder: Path, case: Callable[[Record, Platform], Awaitable[int]]) -> int:
    """Run a case and return its exit code; a case that takes too long, or fails by itself, is void."""
    record = Record(folder / "record.txt")
    platform = Platform(record)
    record.say(f"case {folder.name}, trouble {'on' if TROUBLE else 'off'}")
    code = VOID
    # A script that is told to end ends its processes too: SIGTERM is handled like an interrupt.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        code = asyncio.run(asyncio.wait_for(case(record, platform), CASE_TIMEOUT_S))
    except VoidError as error:
        record.say(f"void: {error}")
    except TimeoutError:
        record.say("void: the case took too long")
    except KeyboardInterrupt:
        record.say("void: the script was told to end")
    except Exception:  # noqa: BLE001 - an error of the script is no broken rule
        record.say("void: " + traceback.format_exc())
    finally:
        platform.close()
        record.say(f"exit {code} ({['the rule held', 'the rule was broken', 'void'][code]})")
        record.close()
    return code


LATEST_ANSWER_S = 0.5  # after its time, from which on a request counts as lost (STANDING.md)
SOCKET_SLACK_S = 0.05  # by which every time limit is longer on sockets (PROTOCOL.md)


class LagMeter:
    """How late this process itself runs: the longest delay of a timer, which is taken off every lateness."""

    def __init__(self) -> None:
        self.longest_s = 0.0

    async def run(self) -> None:
        """Measure until cancelled."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(0.02)
            self.longest_s = max(self.longest_s, time.monotonic() - before - 0.02)


class UsualClients:
    """Well-behaved clients: each request is sent at its time, on a free connection or on a new one."""

    def __init__(
        self, record: Record, port: int, label: str = "c=map-view,d=600", first_number: int = 0
    ) -> None:
        self.record = record
        self.port = port
        self.label = label
        self.time_s = int(label.partition("d=")[2].partition(",")[0]) / 1000
        self.results = list[tuple[str, float]]()  # the kind of the answer, and when it came, in s
        self._free = list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]()
        self._tasks = set[asyncio.Task[None]]()
        self._number = first_number

    def choose_key(self, number: int) -> bytes:
        """Return the key of a request, by its number."""
        return b"%x" % (number % 200 + 1)

    async def run(self, seconds: float, rate: float) -> None:
        """Send `rate` requests a second for some seconds."""
        end = time.monotonic() + seconds
        next_at = time.monotonic()
        while time.monotonic() < end:
            self.start()
            next_at += 1 / rate
            await asyncio.sleep(max(next_at - time.monotonic(), 0))

    def start(self) -> None:
        """Send one request."""
        self._number += 1
        task = asyncio.create_task(self._ask(self._number))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def until_answered(self) -> None:
        """Wait for the answers that are still out; each is waited for for 10 s."""
        while self._tasks:
            await asyncio.gather(*self._tasks)

    async def _ask(self, number: int) -> None:
        key = self.choose_key(number)
        request_id = b"%016x" % (0x1000_0000 + number)
        started_at = time.monotonic()
        kind = "no answer"
        try:
            kind = await asyncio.wait_for(self._exchange(key, request_id), 10)
        except (*CONNECTION_ENDS, TimeoutError) as error:
            kind = f"no answer ({type(error).__name__})"
        elapsed = time.monotonic() - started_at
        self.results.append((kind, elapsed))
        self.record.write(f"client id={request_id.decode()} {kind} after {elapsed:.3f} s")

    async def _exchange(self, key: bytes, request_id: bytes) -> str:
        connection = self._free.pop() if self._free else await asyncio.open_connection(HOST, self.port)
        reader, writer = connection
        try:
            writer.write(encode_command(b"OBJ.GET", key, request_id, self.label.encode()))
            kind, value = await read_reply(reader)
        except BaseException:
            writer.close()
            raise
        self._free.append(connection)
        if kind == "served" and not value.startswith(key + b"/" + request_id + b"/"):
            made_for = value.split(b"/")[1:2]
            self.record.write(f"client id={request_id.decode()} is served a value made for id={made_for}")
            return "foreign value"
        return kind

    def lost(self, own_lag_s: float) -> list[tuple[str, float]]:
        """Return the requests that got no final answer, or got it over half a second after their time."""
        latest = self.time_s + LATEST_ANSWER_S + SOCKET_SLACK_S + own_lag_s
        return [(kind, at) for kind, at in self.results if kind.startswith("no answer") or at > latest]


async def small_deployment(
    record: Record, nodes: int = 10, **node_arguments: Any
) -> tuple[Discovery, Origin, list[CacheNode]]:
    """Start discovery, the origin and warm cache nodes, all listed."""
    discovery = Discovery(record)
    await discovery.listen()
    origin = Origin(record)
    await origin.listen()
    discovery.set(origin.entry())
    cache_nodes = [CacheNode(f"s-{number:08x}", record, **node_arguments) for number in range(nodes)]
    for node in cache_nodes:
        await node.listen()
        discovery.set(node.entry())
    return discovery, origin, cache_nodes
