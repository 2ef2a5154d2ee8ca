"""Tests of loading the platform's configuration."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from lupinladder.net import config
from lupinladder.net.client_command import MAX_STORED_VALUE_BYTES
from tests.simulator.test_codec import SETTINGS
from tests.support.endpoint_lists import configuration


class ConfigParsing(unittest.TestCase):
    def test_a_valid_configuration_is_parsed_and_respects_its_limits(self) -> None:
        tree = configuration()
        tree["settings"]["tenants"] = SETTINGS["tenants"]
        proxy_config = config.parse(json.dumps(tree))
        self.assertEqual(
            (proxy_config.listen_address, proxy_config.classes, proxy_config.tenants, proxy_config.seed),
            (("127.0.0.1", 7001), ["read"], ["a"], 0x8C1F30D27A5BE964),
        )
        self.assertLess(proxy_config.max_descriptors, 1024)
        bytes_of_open_requests = proxy_config.max_open_requests * 2 * (64 << 10)
        self.assertLess(bytes_of_open_requests, 192 << 20)

    def test_what_connections_may_keep_follows_from_the_memory_limit_and_holds_all_open_requests(
        self,
    ) -> None:
        for memory_mb, expected_mb in ((32, 4), (64, 20), (128, 52), (192, 84)):
            with self.subTest(memory_mb=memory_mb):
                tree = configuration()
                tree["limits"]["memory_mb"] = memory_mb
                proxy_config = config.parse(json.dumps(tree))
                self.assertEqual(proxy_config.max_buffered_bytes, expected_mb << 20)
                bytes_of_open_requests = proxy_config.max_open_requests * MAX_STORED_VALUE_BYTES
                self.assertLess(bytes_of_open_requests, proxy_config.max_buffered_bytes)

    def test_an_invalid_configuration_raises_an_error_with_a_one_line_message(self) -> None:
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
                with self.subTest(text=text[:60]), self.assertRaises(config.ConfigError) as context:
                    config.load({"GW_CONFIG": str(path)})
                self.assertNotIn("\n", str(context.exception))
        for env in ({}, {"GW_CONFIG": "/nowhere/config.json"}):
            with self.subTest(env=env), self.assertRaises(config.ConfigError):
                config.load(env)
