"""JSON objects in a stream of lines."""

from __future__ import annotations

import json
import unittest

from lupinladder.net.discovery.endpoint_list_decoder import EndpointListDecoder
from lupinladder.net.discovery.json_object_stream import JsonObjectStream
from tests.support.endpoint_lists import endpoint_snapshot

MAX_BYTES = 1 << 20


def decoded(text: bytes) -> dict[str, object]:
    """Decode the text of an object with the decoder of endpoint lists."""
    decoder = EndpointListDecoder(text)
    entries = list(decoder.entries())
    return {**decoder.fields, "endpoints": entries}


class JsonObjects(unittest.TestCase):
    def test_objects_on_one_line_or_indented_are_read(self) -> None:
        tree = endpoint_snapshot(name='a{"[\\')
        flat, indented = json.dumps(tree), json.dumps(tree, indent=2)
        for text, expected in (
            (flat, [tree]),
            (indented, [tree]),
            (f"\n{indented}\n  \n{flat}\n{indented}\n", [tree] * 3),
            (indented[:-1], []),
            ("{\n" * 9, []),
        ):
            with self.subTest(text=text):
                objects = JsonObjectStream(MAX_BYTES)
                lines = text.encode().split(b"\n")
                texts = [object_text for line in lines for object_text in objects.feed_line(line)]
                self.assertEqual([decoded(object_text) for object_text in texts], expected)

    def test_invalid_too_long_or_too_deeply_nested_json_is_an_error(self) -> None:
        for text in (
            "{]",
            "}",
            "x",
            '{"a": 1\n,,}',
            "[" * 100_000 + "]" * 100_000,
            '{\n"a": "' + "x" * (1 << 20),
        ):
            with self.subTest(text=text[:9]), self.assertRaises(ValueError):
                objects = JsonObjectStream(MAX_BYTES)
                for line in text.encode().split(b"\n"):
                    for object_text in objects.feed_line(line):
                        decoded(object_text)
