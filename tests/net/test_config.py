"""The configuration that the platform hands over."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from lupinladder.net import config
from tests.simulator.test_codec import SETTINGS
from tests.support.endpoint_lists import configuration


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
