"""Tables of cases for what reads bytes and texts: ring, RESP, HTTP, commands, lists, configuration."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from lupinladder.balancing.events import Endpoint, EndpointState, Outcome
from lupinladder.net import config, http, resp
from lupinladder.net.client_command import CommandError, parse_command, parse_load_report
from lupinladder.net.connection_pool import CacheNodeReplyReader, UpstreamProtocolError
from lupinladder.net.discovery.endpoint_registry import EndpointParser, JsonObjectStream
from lupinladder.net.event_loop import EventLoop
from lupinladder.net.origin_protocol import OriginProtocol
from lupinladder.net.ring_buffer import INITIAL_CAPACITY, RingBuffer
from tests.test_wire import SETTINGS

CLASSES = ["read", "put"]
MISS, OK, FULL, ERROR = Outcome.MISS, Outcome.OK, Outcome.REJECTED, Outcome.ERROR


def ring_of(data: bytes) -> RingBuffer:
    ring = RingBuffer(1 << 20)
    ring.append(data)
    return ring


class Rings(unittest.TestCase):
    def test_bytes_come_out_as_they_went_in_round_the_end_and_through_growth(self) -> None:
        ring, put, took = RingBuffer(5 * INITIAL_CAPACITY), b"", b""
        for n in range(400):
            data = bytes([n % 251]) * (n * 37 % 300)
            if len(data) <= ring.available_space:
                ring.append(data)
                put += data
            took += ring.read(n * 31 % 290)
        took += ring.read(len(ring))
        self.assertEqual(took, put)

    def test_the_bound_holds_and_an_empty_ring_is_small_again(self) -> None:
        ring = RingBuffer(3 * INITIAL_CAPACITY)
        ring.append(b"x" * 3 * INITIAL_CAPACITY)
        self.assertEqual((ring.available_space, len(ring.writable_view())), (0, 0))
        with self.assertRaises(BufferError):
            ring.append(b"y")
        ring.discard(3 * INITIAL_CAPACITY)
        self.assertLessEqual(len(ring.writable_view()), INITIAL_CAPACITY)

    def test_lines(self) -> None:
        for data, line in [(b"ab\r\ncd", b"ab"), (b"\r\n", b""), (b"ab", None), (b"ab\r", None)]:
            with self.subTest(data=data):
                self.assertEqual(ring_of(data).read_line(8), line)
        for data in (b"ab\n", b"123456789012\r\n"):
            with self.subTest(data=data), self.assertRaises(ValueError):
                ring_of(data).read_line(8)


class Resp(unittest.TestCase):
    WHOLE: tuple[tuple[bytes, resp.Value], ...] = (
        (b"+OK\r\n", b"OK"),
        (b"-ERR x\r\n", b"ERR x"),
        (b":-12\r\n", -12),
        (b"$3\r\na\r\n\r\n", b"a\r\n"),
        (b"$0\r\n\r\n", b""),
        (b"$-1\r\n", None),
        (b"*-1\r\n", None),
        (b"*0\r\n", []),
        (b"*3\r\n$1\r\na\r\n*1\r\n:1\r\n$-1\r\n", [b"a", [1], None]),
    )

    def test_values_whole_and_byte_by_byte(self) -> None:
        for data, value in self.WHOLE:
            with self.subTest(data=data):
                self.assertEqual(resp.RespParser(64, 8).next(ring_of(data)), value)
                parser, ring = resp.RespParser(64, 8), RingBuffer(64)
                for byte in data[:-1]:
                    ring.append(bytes([byte]))
                    self.assertIs(parser.next(ring), resp.INCOMPLETE)
                ring.append(data[-1:])
                self.assertEqual(parser.next(ring), value)
                self.assertTrue(parser.idle)

    def test_broken_framing(self) -> None:
        for data in (
            b"PING\r\n",
            b"*x\r\n",
            b"*-2\r\n",
            b"*9\r\n",
            b"$65\r\n",
            b"$+3\r\n",
            b"$1_0\r\n",
            b"$2\r\nabc\r\n",
            b"*1\r\n" * 5,
            b"+" + b"x" * 5000,
            b"+x\n",
        ):
            with self.subTest(data=data), self.assertRaises(resp.FramingError):
                resp.RespParser(64, 8).next(ring_of(data))

    def test_an_error_line_cannot_be_broken_out_of(self) -> None:
        self.assertEqual(resp.encode_error("ERR a\r\n+OK"), b"-ERR a  +OK\r\n")


class Commands(unittest.TestCase):
    GET = (b"OBJ.GET", b"7f3a9c21e0b4d655", b"9b1f03aa", b"c=read,d=480")

    def test_a_read_and_a_write(self) -> None:
        read = parse_command(self.GET, CLASSES)
        self.assertEqual(
            (read.request_class, read.timeout, read.is_write, read.key), (0, 480.0, False, 0x7F3A9C21E0B4D655)
        )
        write = parse_command([b"OBJ.SET", b"1f", b"x", b"c=put,d=90,k=5c,r=1,size=12.5", b"V"], CLASSES)
        self.assertEqual(
            (write.request_class, write.is_write, write.is_retry, write.size), (1, True, True, 12.5)
        )
        # Only d changes on the way to a cache node or the origin, in its place.
        labels = b"c=put,d=41,k=5c,r=1,size=12.5"
        self.assertEqual(write.with_deadline(41.4)[3], labels)
        self.assertEqual(read.with_deadline(0.2), [*self.GET[:3], b"c=read,d=1"])
        sent = OriginProtocol(("127.0.0.1", 80), []).encode(write, 41.4)
        for part in (
            b"PUT /1f HTTP/1.1\r\n",
            b"\r\nX-Txn: x\r\n",
            b"X-Labels: " + labels + b"\r\n",
            b"\r\n\r\nV",
        ):
            self.assertIn(part, sent)

    def test_the_tenant_and_the_expected_work_by_their_labels(self) -> None:
        words = [*self.GET[:3], b"c=read,t=b,d=480,h=96500"]
        read = parse_command(words, CLASSES, ["a", "b"])
        self.assertEqual((read.tenant, read.expected_work), (1, 96.5))  # told in microseconds
        self.assertEqual(
            parse_command(words, CLASSES).tenant, 0
        )  # where the settings name none it is passed on unread
        for labels in (b"c=read,d=480", b"c=read,t=c,d=480", b"c=read,t=,d=480", b"c=read,t=b,d=480,h=x"):
            with self.subTest(labels=labels), self.assertRaises(CommandError):
                parse_command([*self.GET[:3], labels], CLASSES, ["a", "b"])

    def test_malformed(self) -> None:
        key, ident = self.GET[1:3]
        for words in (
            [b"OBJ.DEL", key, ident, b"c=read,d=1"],
            [b"OBJ.GET", key, ident],
            [b"OBJ.GET", key, ident, b"c=read,d=1", b"V"],
            [b"OBJ.SET", key, ident, b"c=put,d=1"],
            [b"OBJ.GET", b"a b", ident, b"c=read,d=1"],
            [b"OBJ.GET", b"../x", ident, b"c=read,d=1"],
            [b"OBJ.GET", key, b"", b"c=read,d=1"],
            [b"OBJ.GET", key, ident, b"c=read"],
            [b"OBJ.GET", key, ident, b"c=none,d=1"],
            [b"OBJ.GET", key, ident, b"c=read,d=0"],
            [b"OBJ.GET", key, ident, b"c=read,d=nan"],
            [b"OBJ.GET", key, ident, b"c=read,d=-5"],
            [b"OBJ.GET", key, ident, b"c=read,d=1,d=2"],
            [b"OBJ.GET", key, ident, b"c=read,d=1\r\nX-Y: 1"],
            [b"OBJ.GET", key, ident, b"c=read,d=" + b"9" * 2000],
        ):
            with self.subTest(words=words), self.assertRaises(CommandError):
                parse_command(words, CLASSES)

    def test_load_reports_in_the_order_of_the_settings(self) -> None:
        fields = ["fail_rate", "rif"]
        for text, load in (
            (b"inflight=7,queue=2,eps=0.5", (0.5, 7.0)),
            (b"rif=7,fail_rate=0.5", (0.5, 7.0)),
            (b"inflight=7", ()),
            (b"inflight=x,eps=1", ()),
            (b"inflight=1e2,eps=1.5e-05", (1.5e-05, 100.0)),
            (b"inflight=nan,eps=1", ()),
            (b"inflight=inf,eps=1", ()),
            (b"inflight=-1,eps=1", ()),
            (b"inflight=1e999,eps=1", ()),
            (b"\xff\x00=,,=", ()),
            (None, ()),
        ):
            with self.subTest(text=text):
                self.assertEqual(parse_load_report(text, fields), load)


class Replies(unittest.TestCase):
    def test_what_a_cache_node_answers(self) -> None:
        for data, outcome, value, note, load in (
            (b"*3\r\n$1\r\nV\r\n$3\r\nhit\r\n$5\r\nrif=2\r\n", OK, b"V", 1, (2.0,)),
            (b"*3\r\n$-1\r\n$7\r\npending\r\n$-1\r\n", MISS, None, 3, ()),
            (b"*3\r\n$-1\r\n$-1\r\n$-1\r\n", MISS, None, 0, ()),
            (b"-ERR failed rif=3\r\n", ERROR, None, 0, (3.0,)),
            (b"-BUSY\r\n", FULL, None, 0, ()),
            (b"-BUSY rif=9\r\n", FULL, None, 0, (9.0,)),
            (b"-SYNTAX\r\n", ERROR, None, 0, ()),
            (b"*3\r\n$1\r\nV\r\n+x\r\n*1\r\n:1\r\n", OK, b"V", 0, ()),  # the value is good all the same
        ):
            with self.subTest(data=data):
                reply = CacheNodeReplyReader(["rif"]).next(ring_of(data))
                assert reply is not None
                self.assertEqual(
                    (reply.outcome, reply.value, reply.cache_result, reply.load), (outcome, value, note, load)
                )
        value, rest = b"$1\r\nV\r\n", b"$-1\r\n$-1\r\n"
        for data in (
            *(b"+OK\r\n", b"*0\r\n", b"*1\r\n:1\r\n", value, b"-BUSYx\r\n", b"-\xf0\x9f\r\n"),
            *(b"*3\r\n+V\r\n" + rest, b"*3\r\n:1\r\n" + rest, b"*2\r\n" + value + rest[:5]),
        ):
            with self.subTest(data=data), self.assertRaises(UpstreamProtocolError):
                CacheNodeReplyReader([]).next(ring_of(data))

    def test_what_the_origin_answers(self) -> None:
        head = b"HTTP/1.1 %s\r\nContent-Length: 1\r\n%s\r\nV"
        for data, outcome, value, load in (
            (head % (b"200 OK", b"X-Pressure: inflight=2\r\n"), OK, b"V", (2.0,)),
            (head % (b"500 No", b""), ERROR, None, ()),
            (head % (b"503 No", b"X-Turned-Away: 1\r\n"), FULL, None, ()),
            (head % (b"504 No", b"X-Turned-Away: 1\r\n"), FULL, None, ()),
            (head % (b"503 No", b""), ERROR, None, ()),
            (head % (b"500 No", b"X-Turned-Away: 1\r\n"), ERROR, None, ()),
            (head % (b"404 No", b""), ERROR, None, ()),
            (b"HTTP/1.1 100 Continue\r\n\r\n" * 2 + head % (b"200 OK", b""), OK, b"V", ()),
            (b"HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n" + head % (b"200 OK", b""), OK, b"V", ()),
            (head % (b"200 OK", b"X-Pressure: inflight=nan\r\n"), OK, b"V", ()),
        ):
            with self.subTest(data=data):
                reader = OriginProtocol(("127.0.0.1", 80), ["rif"]).reader()
                self.assertIsNone(reader.next(ring_of(data[:-1])))  # not whole yet
                reply = reader.next(ring_of(data[-1:]))
                assert reply is not None
                self.assertEqual((reply.outcome, reply.value, reply.load), (outcome, value, load))
                self.assertFalse(reader.closes)

    def test_http_that_cannot_be_trusted(self) -> None:
        for data in (
            b"nonsense\r\n\r\n",
            b"HTTP/1.1 200 OK\r\n\r\n123456789",  # no length, and no end in sight
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n123456789",
            b"HTTP/1.1 200 OK\r\n" + b"a: b\r\n" * 99 + b"\r\n",
            b"HTTP/1.1 200 OK\r\na: " + b"x" * 40_000,
            b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        ):
            with self.subTest(data=data), self.assertRaises(http.HttpError):
                http.ResponseReader(8).feed(data)
        reader = http.ResponseReader(8)
        self.assertEqual(
            len(reader.feed(b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")), 1
        )
        self.assertTrue(reader.closes)

    def test_http_without_a_length_is_whole_at_the_end_and_not_before(self) -> None:
        for head, whole in (
            (b"HTTP/1.1 200 OK\r\n\r\n", True),
            (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", True),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", False),
            (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n", False),
            (b"HTTP/1.1 200 OK\r\nX: VALUE", False),
        ):
            with self.subTest(head=head):
                reader = http.ResponseReader(8)
                self.assertEqual(
                    (reader.feed(head + b"VA"), reader.feed(b"LUE"), reader.idle), ([], [], False)
                )
                answer = reader.finish()
                self.assertEqual(bytes(answer.body) if answer else None, b"VALUE" if whole else None)

    def test_http_hands_out_what_was_whole_before_the_noise(self) -> None:
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nV"
        for data, answers, idle in (
            (whole, 1, True),
            (whole + whole, 2, True),
            (whole + whole[:9], 1, False),
            (whole + b"noise\r\n", 1, False),
        ):
            with self.subTest(data=data):
                reader = http.ResponseReader(8)
                self.assertEqual((len(reader.feed(data)), reader.idle), (answers, idle))
        with self.assertRaises(http.HttpError):
            reader.feed(whole)  # nothing after the noise can be trusted


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


def listing(**more: object) -> dict[str, object]:
    return {"index": 4, "snapshot": True, "endpoints": [{**ENTRY, **more}]}


class Lists(unittest.TestCase):
    READER = EndpointParser(["a", "b"], ["m2", "origin"])

    def test_entries(self) -> None:
        version, whole, entries, where = self.READER.read(listing())
        self.assertEqual((version, whole, where), (4, True, {b"s-1": ("127.0.0.1", 6379)}))
        self.assertEqual(entries, [Endpoint(b"s-1", EndpointState.READY, 1.0, 1796120872235.0, 1, 3, 1)])
        gone = self.READER.read(listing(status="left", address="", since_ms=0))
        self.assertEqual((gone[2][0].state, gone[2][0].started_at, gone[3]), (EndpointState.GONE, 0.0, {}))

    def test_bad_lists(self) -> None:
        trees: list[object] = [[], {}, {"index": "4", "endpoints": []}, {"index": 4, "endpoints": {}}]
        for tree in trees:
            with self.subTest(tree=tree), self.assertRaises(ValueError):
                self.READER.read(tree)

    def test_one_that_leaves_needs_a_name_and_its_status(self) -> None:
        for more in ({}, {"zone": "c"}, {"type": 5}, {"address": "x"}, {"since_ms": "x"}):
            for status in ("leaving", "left"):
                with self.subTest(more=more, status=status):
                    found = self.READER.read(
                        {"index": 4, "endpoints": [{"name": "s-1", **more, "status": status}]}
                    )
                    self.assertEqual((found[2], found[3]), ([Endpoint(b"s-1", EndpointState.GONE)], {}))

    def test_objects_off_lines_whole_or_indented(self) -> None:
        tree = listing(name='a{"[\\')
        flat, indented = json.dumps(tree), json.dumps(tree, indent=2)
        for text, found in (
            (flat, [tree]),
            (indented, [tree]),
            (f"\n{indented}\n  \n{flat}\n{indented}\n", [tree] * 3),
            (indented[:-1], []),
            ("{\n" * 9, []),
        ):
            with self.subTest(text=text):
                objects = JsonObjectStream()
                self.assertEqual(
                    [one for line in text.encode().split(b"\n") for one in objects.line(line)], found
                )
        for text in (
            "{]",
            "}",
            "x",
            '{"a": 1\n,,}',
            "[" * 100_000 + "]" * 100_000,
            '{\n"a": "' + "x" * (1 << 20),
        ):
            with self.subTest(text=text[:9]), self.assertRaises(ValueError):
                objects = JsonObjectStream()
                for line in text.encode().split(b"\n"):
                    objects.line(line)

    def test_a_bad_entry_hides_no_other(self) -> None:
        more: list[dict[str, object]] = [
            {"status": "asleep"},
            {"zone": "c"},
            {"type": "m3"},
            {"name": 5},
            {"address": "127.0.0.1"},
            {"address": "127.0.0.1:0"},
            {"since_ms": "x"},
            {"since_ms": -1},
            {"since_ms": True},
        ]
        entries = [*({**ENTRY, **one} for one in more), "s-2", None, ENTRY]
        with mock.patch("builtins.print"):
            found = self.READER.read({"index": 4, "endpoints": entries})
        self.assertEqual([entry.server for entry in found[2]], [b"s-1"])
        self.assertEqual(list(found[3]), [b"s-1"])


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


class Configuration(unittest.TestCase):
    def test_a_good_one(self) -> None:
        tree = configuration()
        tree["settings"]["tenants"] = SETTINGS["tenants"]
        conf = config.parse(json.dumps(tree))
        self.assertEqual(
            (conf.listen, conf.classes, conf.tenants, conf.seed),
            (("127.0.0.1", 7001), ["read"], ["a"], 0x8C1F30D27A5BE964),
        )
        self.assertLess(conf.sockets, 1024)
        self.assertLess(conf.max_open * 2 * (64 << 10), 192 << 20)  # what all open queries may hold

    def test_bad_ones_are_one_line(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            texts = ["{", "[" * 100_000, "[]"]
            for name, value in (
                ("listen", "x"),
                ("seed", "zz"),
                ("limits", {}),
                ("known", {}),
                ("settings", {}),
            ):
                texts.append(json.dumps({**configuration(), name: value}))
            for text in texts:
                path.write_text(text)
                with self.subTest(text=text[:60]), self.assertRaises(config.ConfigError) as caught:
                    config.load({"GW_CONFIG": str(path)})
                self.assertNotIn("\n", str(caught.exception))
        for env in ({}, {"GW_CONFIG": "/nowhere/config.json"}):
            with self.subTest(env=env), self.assertRaises(config.ConfigError):
                config.load(env)


class Deadlines(unittest.TestCase):
    def test_they_come_in_order_can_be_cancelled_and_do_not_starve_a_turn(self) -> None:
        loop, ran = EventLoop(), list[str]()
        now = loop.now()
        loop.call_at(now - 1, lambda: ran.append("second"))
        loop.call_at(now - 2, lambda: ran.append("first"))
        dropped = loop.call_at(now - 3, lambda: ran.append("never"))
        loop.call_at(now - 0.5, lambda: loop.cancel(late))
        late = loop.call_at(now - 0.4, lambda: ran.append("cancelled in the same turn"))
        loop.call_at(now - 0.3, lambda: loop.call_at(now - 9, lambda: ran.append("next turn")) and None)
        loop.cancel(dropped)
        loop.cancel(dropped)
        loop.run_once()
        self.assertEqual(ran, ["first", "second"])
        loop.run_once()
        self.assertEqual(ran, ["first", "second", "next turn"])
