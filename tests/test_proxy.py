"""The whole proxy as a process: start, reload and stop."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path
from unittest import mock

from lupinladder.net.discovery import endpoint_registry
from lupinladder.net.log import log_event
from tests.support.endpoint_lists import configuration, listing
from tests.support.network_scene import SERVED, NetworkScene, RecordingListener, get

ROOT = Path(__file__).resolve().parent.parent


PING = b"*1\r\n$4\r\nPING\r\n"


class Program(NetworkScene):
    """The program itself, as deploy/balancer.toml starts it."""

    def start(self, env: dict[str, str]) -> subprocess.Popen[bytes]:
        return subprocess.Popen(
            [sys.executable, "-m", "lupinladder"], cwd=ROOT, env={**os.environ, **env}, stderr=subprocess.PIPE
        )

    def test_a_log_that_nobody_reads_any_more_does_no_harm(self) -> None:
        broken = mock.patch("builtins.print", side_effect=BrokenPipeError)
        with broken:
            log_event("test", detail="x")

    def test_a_bad_configuration_is_one_plain_line(self) -> None:
        with self.start({"GW_CONFIG": "/nowhere"}) as process:
            _, errors = process.communicate(timeout=30)
        self.assertEqual((process.returncode, errors.count(b"\n")), (2, 1))

    def test_told_to_reload_it_follows_the_list_at_the_new_address_and_goes_on(self) -> None:
        doors = [RecordingListener(self.loop) for _ in range(2)]
        conf = configuration()
        with socket.create_server(("127.0.0.1", 0)) as spare:
            conf["listen"] = f"127.0.0.1:{spare.getsockname()[1]}"
        conf["known"] = listing(type="m2", address=f"127.0.0.1:{self.node.address[1]}", since_ms=0)
        conf["settings"]["obligations"]["ask-within-ms"] = 50.0
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"

            def write(door: RecordingListener) -> None:
                conf["discovery"] = f"127.0.0.1:{door.address[1]}"
                path.write_text(json.dumps(conf))

            write(doors[0])
            with self.start({"GW_CONFIG": str(path)}) as process:
                assert process.stderr
                process.stderr.readline()  # it listens
                self.until(lambda: doors[0].peers, "the first watch")
                self.address = endpoint_registry.parse_address(conf["listen"])
                client = self.client(get())
                node = self.at_node()
                path.write_text("{")
                process.send_signal(signal.SIGHUP)
                self.assertIn(b"reload_rejected error=", process.stderr.readline())
                write(doors[1])
                for _ in range(50):
                    process.send_signal(signal.SIGHUP)
                self.until(lambda: doors[1].peers and doors[1].peers[0].got, "the second watch")
                self.assertIn(b"index=4 ", doors[1].peers[0].got)
                node.conn.send(SERVED)
                self.answers(client, b"$1\r\nV\r\n")
                process.send_signal(signal.SIGTERM)
                process.send_signal(signal.SIGHUP)
                self.until(lambda: client.ends, "the end")
                client.conn.close()
                process.communicate(timeout=30)
        self.assertEqual((process.returncode, len(doors[1].peers)), (0, 1))
        for door in doors:
            door.close()

    def test_a_pushed_list_is_followed_from_the_first_moment_and_again_when_its_watch_is_lost(self) -> None:
        door, conf = RecordingListener(self.loop), configuration()
        self.addCleanup(door.close)
        with socket.create_server(("127.0.0.1", 0)) as spare:
            conf["listen"] = f"127.0.0.1:{spare.getsockname()[1]}"
        conf["discovery"] = f"127.0.0.1:{door.address[1]}"
        conf["known"] = listing(type="m2", address=f"127.0.0.1:{self.node.address[1]}", since_ms=0)
        conf["settings"]["membership-mode"] = "push"
        conf["settings"]["obligations"] |= {"ask-within-ms": 60000.0, "stop-sending-within-ms": 400.0}
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_text(json.dumps(conf))
            process = self.start({"GW_CONFIG": str(path)})
            self.addCleanup(process.communicate)
            self.addCleanup(process.kill)
            assert process.stderr
            process.stderr.readline()  # it listens
            for number in range(3):
                self.at_node(number, door).reset()
            watch = self.at_node(3, door)
            gone = listing(type="m2", status="leaving", since_ms=0)
            text = json.dumps({**gone, "index": 9, "snapshot": False}).encode() + b"\n"
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            watch.conn.send(head + b"%x\r\n%b\r\n" % (len(text), text))
            self.address = endpoint_registry.parse_address(conf["listen"])
            self.until(lambda: self.refused(), "nothing sent to the node that leaves")

    def refused(self) -> bool:
        """Whether a request is refused, as nobody may be sent one."""
        client = self.client(get(wait=100))
        self.until(lambda: client.got, "an answer")
        client.conn.close()
        return client.got.startswith(b"-BUSY")

    def test_told_to_stop_it_answers_what_it_took_and_ends_with_0(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as spare:
            listen = f"127.0.0.1:{spare.getsockname()[1]}"
        where = f"127.0.0.1:{self.node.address[1]}"
        known = listing(type="m2", address=where, since_ms=0)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_text(json.dumps({**configuration(), "listen": listen, "known": known}))
            with self.start({"GW_CONFIG": str(path)}) as process:
                assert process.stderr
                process.stderr.readline()  # it listens
                self.address = endpoint_registry.parse_address(listen)
                client, idle = self.client(get()), self.client(PING)
                self.answers(idle, b"+PONG\r\n")
                node = self.at_node()
                process.send_signal(signal.SIGTERM)
                late = self.client(PING)
                self.answers(late, b"+PONG\r\n")  # still accepting
                self.until(lambda: idle.ends and late.ends, "idle connections to end")
                self.assertEqual((idle.ends, client.ends), ([True], []))
                node.conn.send(SERVED)
                self.until(lambda: client.ends, "the last answer")
                self.assertEqual((client.got, client.ends), (b"$1\r\nV\r\n", [True]))
                for peer in (client, idle, late):
                    peer.conn.close()
                process.communicate(timeout=30)
        self.assertEqual(process.returncode, 0)
