"""Tests of the operator's file, whose keys must stay compatible with existing files."""

from __future__ import annotations

import tempfile
from pathlib import Path
from unittest import TestCase

from lupinladder.operator_config import settings

EVERY_KEY = """
schema = 1

[store]
path = "/var/lib/lupinladder/{name}.store"
bytes = 1_000_000
bytes_per_s = 32_000.5
sync = false
every_ms = 250
"""


def load(text: str) -> settings.OperatorSettings:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "operator.toml"
        path.write_text(text)
        return settings.load(str(path))


class OperatorFile(TestCase):
    def test_a_file_with_every_key_loads(self) -> None:
        loaded = load(EVERY_KEY)
        expected = settings.StoreSettings(
            "/var/lib/lupinladder/{name}.store", 1_000_000, 32_000.5, False, 250.0
        )
        self.assertEqual((loaded.schema, loaded.store), (1, expected))

    def test_only_the_path_of_a_store_is_required(self) -> None:
        expected = settings.StoreSettings("/n.store", 4 << 20, 64_000.0, True, 1000.0)
        self.assertEqual(load("[store]\npath = '/n.store'\n").store, expected)
        self.assertIsNone(load("").store)

    def test_the_example_file_loads(self) -> None:
        example = Path(__file__).parents[2] / "deploy" / "operator.example.toml"
        loaded = load(example.read_text()).store
        assert loaded
        self.assertEqual(loaded.path, "/var/lib/lupinladder/{name}.store")
