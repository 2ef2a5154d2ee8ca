"""Stand-ins for the cases 6 to 10: discovery, cache nodes, the origin, clients, and the start of a proxy.

Everything listens on loopback addresses and on free ports. A stand-in behaves like a sound server unless a
case changes one of its hooks. All times in the record are seconds since the record was opened.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2  # exit codes; `run.sh` turns 10 into 1
RULE_SLACK_S = 0.05  # by which each time limit of the rules is longer on sockets


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line with the time."""
        self._file.write(f"{time.monotonic() - self._started_at:9.4f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        port: int = sock.getsockname()[1]
        return port


def bulk(data: bytes | None) -> bytes:
    """Encode a bulk string, or the null one."""
    return b"$-1\r\n" if data is None else b"$%d\r\n%b\r\n" % (len(data), data)


def command(*words: bytes) -> bytes:
    """Encode a command."""
    return b"*%d\r\n" % len(words) + b"".join(bulk(word) for word in words)


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Read one command: an array of bulk strings."""
    count = int((await reader.readuntil(b"\r\n"))[1:])
    words = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


async def read_reply(reader: asyncio.StreamReader) -> bytes:
    """Read one reply of a proxy: a line, with the value behind it for a bulk string (`$value`)."""
    line = await reader.readuntil(b"\r\n")
    if not line.startswith(b"$") or line.startswith(b"$-1"):
        return line[:-2]
    return b"$" + (await reader.readexactly(int(line[1:]) + 2))[:-2]


def labels(text: bytes) -> dict[bytes, bytes]:
    """Return the names and values of a command."""
    return dict(pair.split(b"=", 1) for pair in text.split(b","))


def value_for(key: bytes, request_id: bytes) -> bytes:
    """Return the value that a server makes for a request: no two requests get the same."""
    return b"value-of-" + key + b"-for-" + request_id


class Server:
    """A listening stand-in."""

    def __init__(self, record: Record, name: str) -> None:
        self.record = record
        self.name = name
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return host and port."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._on_connection, "127.0.0.1", 0, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop_listening(self) -> None:
        """Accept no new connection; the open ones stay."""
        if self._server is not None:
            self._server.close()

    async def stop(self) -> None:
        """Stop listening and end every connection."""
        self.stop_listening()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _on_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.writers.add(writer)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        raise NotImplementedError


class Discovery(Server):
    """Discovery: the whole list, and a watch with a line for each change."""

    def __init__(self, record: Record) -> None:
        super().__init__(record, "discovery")
        self.index = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed: dict[str, int] = {}
        self._news = asyncio.Condition()
        self._muted: set[asyncio.StreamWriter] = set()

    def mute(self, writers: list[asyncio.StreamWriter]) -> None:
        """Write nothing more to these connections, which stay open."""
        self._muted.update(writers)

    async def put(self, server: Server, kind: str, **fields: Any) -> None:
        """List a server, or change its entry."""
        entry = {
            "name": server.name,
            "address": server.address,
            "zone": "riga",
            "type": kind,
            "group": 1,
            "status": "active",
            "weight": 1.0,
            "since_ms": 0,
            **fields,
        }
        async with self._news:
            self.index += 1
            self.entries[server.name] = entry
            self.changed[server.name] = self.index
            self._news.notify_all()

    def snapshot(self) -> dict[str, Any]:
        """Return the whole list."""
        present = [entry for entry in self.entries.values() if entry["status"] != "left"]
        return {"index": self.index, "snapshot": True, "endpoints": present}

    def _changes_after(self, index: int) -> dict[str, Any]:
        if index <= 0:
            return self.snapshot()
        changed = [entry for name, entry in self.entries.items() if self.changed[name] > index]
        return {"index": self.index, "snapshot": False, "endpoints": changed}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one call; a watch stays open."""
        head = await reader.readuntil(b"\r\n\r\n")
        path = head.split()[1].decode()
        if "stream=1" not in path:
            body = json.dumps(self.snapshot()).encode()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
            await writer.drain()
            return
        found = re.search(r"index=(\d+)", path)
        index = int(found[1]) if found else 0
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        first = True
        while True:
            if writer in self._muted:
                await asyncio.Event().wait()  # never set: the connection stays open and silent
            line = b"\n"
            if first or self.index > index:
                line = json.dumps(self._changes_after(index)).encode() + b"\n"
                self.record(f"discovery writes index {self.index} to a watch")
                index, first = self.index, False
            writer.write(b"%x\r\n%b\r\n" % (len(line), line))
            await writer.drain()
            async with self._news:
                if self.index == index:
                    try:
                        await asyncio.wait_for(self._news.wait(), 2)
                    except TimeoutError:
                        continue


Answer = bytes | None


class CacheNode(Server):
    """A cache node. Requests of a connection are begun at once and answered in order.

    `hook(node, words, connection)` returns the bytes of the answer, after the time that the node needs; None
    drops the request without a word.
    """

    def __init__(
        self, record: Record, name: str, hook: Callable[[CacheNode, list[bytes], int], Awaitable[Answer]]
    ) -> None:
        super().__init__(record, name)
        self._hook = hook
        self._connections = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self._connections += 1
        connection = self._connections
        answers: asyncio.Queue[asyncio.Task[Answer]] = asyncio.Queue()
        sender = asyncio.create_task(self._send(answers, writer, connection))
        try:
            while True:
                words = await read_command(reader)
                if words[0] in (b"OBJ.GET", b"OBJ.SET"):
                    self.record(
                        f"{self.name} connection {connection} receives {words[2].decode()} "
                        f"{words[0].decode()} {words[1].decode()} {words[3].decode()}"
                    )
                    answers.put_nowait(asyncio.ensure_future(self._hook(self, words, connection)))
                else:
                    answers.put_nowait(asyncio.ensure_future(_pong()))
        finally:
            sender.cancel()

    async def _send(
        self, answers: asyncio.Queue[asyncio.Task[Answer]], writer: asyncio.StreamWriter, connection: int
    ) -> None:
        while True:
            answer = await (await answers.get())
            if answer is not None:
                writer.write(answer)
                self.record(f"{self.name} connection {connection} answers {answer[:90]!r}")
                await writer.drain()


async def _pong() -> bytes:
    return b"+PONG\r\n"


def hit(words: list[bytes]) -> bytes:
    """Return a node's answer with the value for this request."""
    return b"*3\r\n" + bulk(value_for(words[1], words[2])) + bulk(b"hit") + bulk(None)


MISS = b"*3\r\n" + bulk(None) + bulk(b"miss") + bulk(None)


class Origin(Server):
    """The origin. `hook(origin, method, key, id, labels)` returns the bytes of the whole response."""

    def __init__(
        self, record: Record, hook: Callable[[Origin, str, bytes, bytes, bytes], Awaitable[bytes]]
    ) -> None:
        super().__init__(record, "origin")
        self._hook = hook

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.split(b"\r\n")
            method, path, _ = lines[0].split()
            headers = {
                name.lower(): value.strip()
                for name, _, value in (line.partition(b":") for line in lines[1:] if line)
            }
            await reader.readexactly(int(headers.get(b"content-length", b"0")))
            key, request_id = path[1:], headers[b"x-txn"]
            self.record(
                f"origin receives {request_id.decode()} {method.decode()} {key.decode()} "
                f"{headers[b'x-labels'].decode()}"
            )
            answer = await self._hook(self, method.decode(), key, request_id, headers[b"x-labels"])
            writer.write(answer)
            self.record(f"origin answers {request_id.decode()} {answer[:120]!r}")
            await writer.drain()


def http_ok(value: bytes) -> bytes:
    """Return the origin's response with this value."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(value) + value


def settings(count: int = 1, **changes: Any) -> dict[str, Any]:
    """Return the settings of a proxy of a small deployment, under the names of the wire's page."""
    classes = [
        ("map-view", 300.0, 600.0, "safe", 5.0),
        ("parcel-history", 750.0, 3000.0, "safe", 1.0),
        ("claim-submit", 1200.0, 3000.0, "unsafe", 10.0),
        ("boundary-edit", 2500.0, 5000.0, "keyed", 5.0),
    ]
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
            "peers": False,
            "probes": True,
            "retry-after": True,
            "streams-per-conn": 128,
        },
        "classes": [
            {
                "name": name,
                "goal-time-ms": goal,
                "deadline-ms": deadline,
                "repeat": repeat,
                "key-scope": "all",
                "window-ms": 5000.0,
                "worth": worth,
                "late-worth": 0.0,
                "stream": False,
            }
            for name, goal, deadline, repeat, worth in classes
        ],
        "clients": {"marks-retry": False},
        "counted-by": "request",
        "family": "cache",
        "family-info": {
            "mode": "aside",
            "notes": "1 hit, 2 miss, 3 miss while this server has told another request to fetch",
            "origin-fall-ms": 3000.0,
            "origin-fall-multiple": 3.0,
            "origin-kind": 1,
        },
        "kinds": ["small-1", "origin"],
        "me": 0,
        "membership-mode": "ask",
        "n-instances": count,
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
        "quantum-ms": 5.0,
        "reporting": {"fields": [], "via": "none"},
        "tenants": [],
        "tier": 0,
        "tiers": ["parcel-cache"],
        "weights": "none",
        "zone": 0,
        "zones": ["riga", "jelgava", "valmiera"],
        **changes,
    }


class Proxy:
    """A proxy, started by the `run` line of the deploy file."""

    def __init__(self, record: Record, folder: Path, config: dict[str, Any]) -> None:
        self._record = record
        self._folder = folder
        self.config = config
        self.process: asyncio.subprocess.Process | None = None
        host, port = config["listen"].split(":")
        self.host, self.port = host, int(port)

    def write_config(self) -> Path:
        """Write the configuration file anew, in one step."""
        path = self._folder / f"{self.config['name']}.json"
        fresh = path.with_suffix(".new")
        fresh.write_text(json.dumps(self.config))
        fresh.replace(path)
        return path

    async def start(self) -> None:
        """Start the process and wait until it answers PING. Raises RuntimeError if it does not."""
        path = self.write_config()
        scratch = Path(tempfile.mkdtemp(dir=self._folder))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        env = {
            **{name: value for name, value in os.environ.items() if not name.startswith(("GW_", "LUPIN"))},
            "GW_NAME": self.config["name"],
            "GW_LISTEN": self.config["listen"],
            "GW_DISCOVERY": self.config["discovery"],
            "GW_CONFIG": str(path),
            "TMPDIR": str(scratch),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = (self._folder / f"{self.config['name']}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=env, stdout=log, stderr=log
        )
        log.close()
        self._record(f"proxy {self.config['name']} started, process {self.process.pid}")
        for _ in range(300):
            if self.process.returncode is not None:
                message = f"the proxy ended with {self.process.returncode}"
                raise RuntimeError(message)
            try:
                reader, writer = await asyncio.open_connection(self.host, self.port)
                writer.write(command(b"PING"))
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if line.startswith(b"+PONG"):
                    self._record(f"proxy {self.config['name']} answers PING")
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        message = "the proxy did not get ready within 30 s"
        raise RuntimeError(message)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self._record(f"{number.name} to proxy {self.config['name']}")
        self.process.send_signal(number)

    def resident_kb(self) -> int:
        """Return the resident memory of the process, 0 once it has ended."""
        assert self.process is not None
        try:
            status = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0
        found = re.search(r"VmRSS:\s*(\d+)", status)
        return int(found[1]) if found else 0

    async def stop(self) -> None:
        """Kill the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def log_text(self) -> str:
        """Return what the process has logged."""
        path = self._folder / f"{self.config['name']}.log"
        return path.read_text(errors="replace") if path.exists() else ""


class Deployment:
    """Discovery, cache nodes, an origin and proxies, and what a case needs to end them all."""

    def __init__(self, folder: Path) -> None:
        self.case_folder = folder
        self.record = Record(folder)
        self.temp = Path(tempfile.mkdtemp(prefix="review-"))
        self.discovery = Discovery(self.record)
        self.servers: list[Server] = [self.discovery]
        self.proxies: list[Proxy] = []

    async def use_discovery(self, discovery: Discovery) -> None:
        """Use this discovery in place of the usual one, before anything is listed."""
        await self.discovery.stop()
        self.servers[0] = self.discovery = discovery
        await discovery.start()

    async def add(self, server: Server, kind: str, **fields: Any) -> None:
        """Start a server and list it."""
        await server.start()
        self.servers.append(server)
        await self.discovery.put(server, kind, **fields)
        self.record(f"{server.name} listens on {server.address}")

    async def start_proxy(
        self, proxy_settings: dict[str, Any], memory_mb: int = 192, sockets: int = 1024, name: str = "n1"
    ) -> Proxy:
        """Start a proxy that knows the present list."""
        config = {
            "name": name,
            "listen": f"127.0.0.1:{free_port()}",
            "discovery": self.discovery.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "peer_listen": f"127.0.0.1:{free_port()}",
            "peers": [],
            "known": self.discovery.snapshot(),
            "settings": proxy_settings,
        }
        proxy = Proxy(self.record, self.temp, config)
        self.proxies.append(proxy)
        await proxy.start()
        return proxy

    async def stop(self) -> None:
        """End every process and server, and copy the logs of the proxies into the record."""
        for proxy in self.proxies:
            await proxy.stop()
        for server in self.servers:
            await server.stop()
        for proxy in self.proxies:
            for line in proxy.log_text().splitlines()[-60:]:
                self.record(f"log of {proxy.config['name']}: {line[:400]}")
        shutil.rmtree(self.temp, ignore_errors=True)


def run_case(
    file: str, play: Callable[[Deployment, bool], Awaitable[list[str]]], time_limit_s: float = 110
) -> None:
    """Play a case and exit: `play(deployment, with_trouble)` returns what broke the rule."""
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    sys.exit(asyncio.run(_run_case(Path(file).resolve().parent, play, with_trouble, time_limit_s)))


async def _run_case(
    folder: Path,
    play: Callable[[Deployment, bool], Awaitable[list[str]]],
    with_trouble: bool,
    time_limit_s: float,
) -> int:
    deployment = Deployment(folder)
    record = deployment.record
    record(f"case {folder.name}, {'with' if with_trouble else 'without'} the disruption")
    verdict = COULD_NOT_RUN
    try:
        await deployment.discovery.start()
        broken = await asyncio.wait_for(play(deployment, with_trouble), time_limit_s)
        for line in broken:
            record(f"BROKEN: {line}")
        verdict = BROKEN if broken else HELD
    except Exception as error:  # noqa: BLE001 - whatever goes wrong in the case itself: it could not run
        record(f"could not run: {type(error).__name__}: {error}")
        print(f"case {folder.name}: could not run: {type(error).__name__}: {error}", file=sys.stderr)
    finally:
        await deployment.stop()
    words = {HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "could not run"}
    record(words[verdict])
    record.close()
    print(f"case {folder.name}: {words[verdict]}")
    return verdict
