"""The proxy as a process: start, reload and shutdown."""

from __future__ import annotations

import fcntl
import json
import os
import signal
import socket
import subprocess
import sys
import time
import unittest
from unittest import mock

from lupinladder.net.discovery.endpoint_parser import parse_address
from lupinladder.net.log import log_event
from tests.support.endpoint_lists import endpoint_snapshot
from tests.support.network_scene import SERVED, NetworkScene, RecordingListener, RecordingPeer, get
from tests.support.proxy_process import END_TIMEOUT_S, PING, ROOT, ProxyProcess

# Not imported when the platform starts the proxy: the command line, the emulator and operator's features.
OPTIONAL_MODULES = (
    "click",
    "msgspec",
    "lupinladder.cli",
    "lupinladder.emulator",
    "lupinladder.net.state_persister",
    "lupinladder.operator_config",
    "lupinladder.recovery",
    "lupinladder.store",
)


class InvalidConfiguration(ProxyProcess):
    def test_an_invalid_configuration_is_reported_on_one_line(self) -> None:
        with self.start({"GW_CONFIG": "/nowhere"}) as process:
            _, errors = process.communicate(timeout=END_TIMEOUT_S)
        self.assertEqual((process.returncode, errors.count(b"\n")), (2, 1))


class AddressInUse(ProxyProcess):
    def test_a_start_waits_for_an_address_that_is_still_in_use(self) -> None:
        config = self.configuration()
        host, port = parse_address(config["listen"])
        other_socket = socket.create_server((host, port))
        self.addCleanup(other_socket.close)
        self.config_path.write_text(json.dumps(config))
        with self.start({"GW_CONFIG": str(self.config_path)}) as process:
            assert process.stderr
            self.until_logged(process, "start_postponed")
            other_socket.close()
            self.until_logged(process, "metrics")
            process.send_signal(signal.SIGTERM)
            process.communicate(timeout=END_TIMEOUT_S)
        self.assertEqual(process.returncode, 0)


class PostponedStart(ProxyProcess):
    def test_while_it_waits_for_its_address_it_does_not_call_discovery_or_open_its_store(self) -> None:
        config = self.configuration()
        discovery = RecordingListener(self.loop)
        self.addCleanup(discovery.close)
        config["discovery"] = f"127.0.0.1:{discovery.address[1]}"
        config["settings"]["membership-mode"] = "push"
        operator_path = self.config_path.with_name("operator.toml")
        operator_path.write_text(f'[store]\npath = "{self.config_path.with_name("{name}.store")}"\n')
        host, port = parse_address(config["listen"])
        other_socket = socket.create_server((host, port))
        self.addCleanup(other_socket.close)
        self.config_path.write_text(json.dumps(config))
        env = {"GW_CONFIG": str(self.config_path), "LUPINLADDER_OPERATOR": str(operator_path)}
        with self.start(env) as process:
            for _ in range(3):
                self.until_logged(process, "start_postponed")
            other_socket.close()
            self.until_logged(process, "metrics")
            self.accept_request(0, discovery)
            self.assertEqual(len(discovery.peers), 1)
            process.send_signal(signal.SIGTERM)
            process.communicate(timeout=END_TIMEOUT_S)
        self.assertEqual(process.returncode, 0)


class Imports(unittest.TestCase):
    def test_the_program_imports_no_optional_module(self) -> None:
        code = "import sys, lupinladder.__main__; print(*sys.modules)"
        process = subprocess.run(
            [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
        )
        imported = process.stdout.split()
        self.assertIn("lupinladder.proxy", imported)
        self.assertEqual([name for name in imported if name.startswith(OPTIONAL_MODULES)], [])


class Log(NetworkScene):
    def test_a_closed_log_raises_no_error(self) -> None:
        broken = mock.patch("builtins.print", side_effect=BrokenPipeError)
        with broken:
            log_event("test", detail="x")


class FullLog(ProxyProcess):
    def test_a_full_log_pipe_does_not_block_clients(self) -> None:
        config = self.configuration()
        self.config_path.write_text(json.dumps(config))
        reader, writer = os.pipe()
        self.addCleanup(os.close, reader)
        size = fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
        os.write(writer, b"x" * size)  # writing one more byte blocks
        with self.start({"GW_CONFIG": str(self.config_path)}, stderr=writer) as process:
            os.close(writer)
            self.address = parse_address(config["listen"])
            self.until_served()
            process.send_signal(signal.SIGTERM)
            process.wait(END_TIMEOUT_S)
        self.assertEqual(process.returncode, 0)

    def until_served(self) -> None:
        """Connect repeatedly until a PING is answered."""
        clients = list[RecordingPeer]()

        def is_served() -> bool:
            if not clients or clients[-1].ends:
                clients.append(self.client(PING))
            return clients[-1].received == b"+PONG\r\n"

        self.loop.call_at(self.loop.now(), lambda: None)
        self.until(is_served, "an answer")
        clients[-1].conn.close()


class Reload(ProxyProcess):
    def test_on_sighup_it_watches_the_list_at_the_new_address_and_continues_to_serve(self) -> None:
        listeners = [RecordingListener(self.loop) for _ in range(2)]
        for listener in listeners:
            self.addCleanup(listener.close)
        config = self.configuration()
        config["settings"]["obligations"]["ask-within-ms"] = 50.0
        config["discovery"] = f"127.0.0.1:{listeners[0].address[1]}"
        with self.start_listening(config) as process:
            assert process.stderr
            self.until(lambda: listeners[0].peers, "the first watch")
            client = self.client(get())
            node = self.accept_request()
            self.config_path.write_text("{")
            process.send_signal(signal.SIGHUP)
            self.assertIn(b"error=", self.until_logged(process, "reload_rejected"))
            config["discovery"] = f"127.0.0.1:{listeners[1].address[1]}"
            self.config_path.write_text(json.dumps(config))
            for _ in range(50):
                process.send_signal(signal.SIGHUP)
            self.until(lambda: listeners[1].peers and listeners[1].peers[0].received, "the second watch")
            self.assertIn(b"index=4 ", listeners[1].peers[0].received)
            node.conn.send(SERVED)
            self.assert_received(client, b"$1\r\nV\r\n")
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGHUP)
            self.until(lambda: client.ends, "the end")
            client.conn.close()
            process.communicate(timeout=END_TIMEOUT_S)
        self.assertEqual((process.returncode, len(listeners[1].peers)), (0, 1))

    def test_a_configuration_file_that_is_missing_for_a_moment_is_read_again(self) -> None:
        listeners = [RecordingListener(self.loop) for _ in range(2)]
        for listener in listeners:
            self.addCleanup(listener.close)
        config = self.configuration()
        config["settings"]["obligations"]["ask-within-ms"] = 50.0
        config["discovery"] = f"127.0.0.1:{listeners[0].address[1]}"
        with self.start_listening(config) as process:
            assert process.stderr
            self.until(lambda: listeners[0].peers, "the first watch")
            self.config_path.unlink()
            process.send_signal(signal.SIGHUP)
            self.assertIn(b"error=", self.until_logged(process, "reload_postponed"))
            config["discovery"] = f"127.0.0.1:{listeners[1].address[1]}"
            new_path = self.config_path.with_suffix(".new")
            new_path.write_text(json.dumps(config))
            new_path.replace(self.config_path)
            self.until(lambda: listeners[1].peers and listeners[1].peers[0].received, "the second watch")
            process.send_signal(signal.SIGTERM)
            process.communicate(timeout=END_TIMEOUT_S)
        self.assertEqual(process.returncode, 0)


class SignalsDuringExit(ProxyProcess):
    """The interpreter restores the default handlers while it exits; a late signal then killed the process."""

    def test_they_do_not_change_the_exit_code(self) -> None:
        with self.start_listening(self.configuration()) as process:
            process.send_signal(signal.SIGTERM)
            self.until_logged(process, "shutdown_finished")
            deadline = time.monotonic() + END_TIMEOUT_S
            while process.poll() is None and time.monotonic() < deadline:
                process.send_signal(signal.SIGHUP)
                process.send_signal(signal.SIGTERM)
            self.assertEqual(process.returncode, 0)


class PushedList(ProxyProcess):
    def test_a_pushed_list_is_watched_from_the_start_and_again_after_its_watch_is_lost(self) -> None:
        discovery = RecordingListener(self.loop)
        self.addCleanup(discovery.close)
        config = self.configuration()
        config["discovery"] = f"127.0.0.1:{discovery.address[1]}"
        config["settings"]["membership-mode"] = "push"
        config["settings"]["obligations"] |= {"ask-within-ms": 60000.0, "stop-sending-within-ms": 400.0}
        process = self.start_listening(config)
        self.addCleanup(process.communicate)
        self.addCleanup(process.kill)
        for number in range(3):
            self.accept_request(number, discovery).reset()
        watch = self.accept_request(3, discovery)
        draining = endpoint_snapshot(type="m2", status="leaving", since_ms=0)
        text = json.dumps({**draining, "index": 9, "snapshot": False}).encode() + b"\n"
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        watch.conn.send(head + b"%x\r\n%b\r\n" % (len(text), text))
        self.until(lambda: self.is_rejected(), "a rejection while the only node is draining")

    def is_rejected(self) -> bool:
        """Whether a request is rejected, as no node may receive it."""
        client = self.client(get(wait=100))
        self.until(lambda: client.received, "an answer")
        client.conn.close()
        return client.received.startswith(b"-BUSY")


class Shutdown(ProxyProcess):
    def test_on_sigterm_it_answers_accepted_requests_and_exits_with_0(self) -> None:
        with self.start_listening(self.configuration()) as process:
            client = self.client(get())
            idle = self.client(PING)
            self.assert_received(idle, b"+PONG\r\n")
            node = self.accept_request()
            process.send_signal(signal.SIGTERM)
            late = self.client(PING)
            self.assert_received(late, b"+PONG\r\n")  # it still accepts connections
            self.until(lambda: idle.ends and late.ends, "idle connections to end")
            self.assertEqual((idle.ends, client.ends), ([True], []))
            node.conn.send(SERVED)
            self.until(lambda: client.ends, "the last answer and the close")
            self.assertEqual((client.received, client.ends), (b"$1\r\nV\r\n", [True]))
            for peer in (client, idle, late):
                peer.conn.close()
            process.communicate(timeout=END_TIMEOUT_S)
        self.assertEqual(process.returncode, 0)

    def test_a_stop_before_the_first_list_and_a_reload_answer_requests_and_exit_with_0(self) -> None:
        config = self.configuration()
        with socket.create_server(("127.0.0.1", 0)) as silent_discovery:  # it accepts but never replies
            config["discovery"] = f"127.0.0.1:{silent_discovery.getsockname()[1]}"
            config["settings"]["membership-mode"] = "push"
            with self.start_listening(config) as process:
                client = self.client(get())
                node = self.accept_request()
                process.send_signal(signal.SIGTERM)
                process.send_signal(signal.SIGHUP)
                node.conn.send(SERVED)
                self.assert_received(client, b"$1\r\nV\r\n")
                self.until(lambda: client.ends, "the end")
                client.conn.close()
                process.wait(END_TIMEOUT_S)
        self.assertEqual(process.returncode, 0)

    def test_a_sole_proxy_continues_to_serve_after_its_signal_while_discovery_is_down(self) -> None:
        config = self.configuration()
        config["settings"]["n-instances"] = 1
        config["settings"]["membership-mode"] = "push"
        with self.start_listening(config) as process:  # no process listens at discovery's address
            client = self.client(PING)
            self.assert_received(client, b"+PONG\r\n")
            process.send_signal(signal.SIGTERM)
            self.until_logged(process, "listener_closed")
            client.conn.send(get())
            self.accept_request().conn.send(SERVED)
            self.assert_received(client, b"+PONG\r\n$1\r\nV\r\n")
            self.until(lambda: client.ends, "the end")
            client.conn.close()
            process.wait(END_TIMEOUT_S)
        self.assertEqual(process.returncode, 0)
