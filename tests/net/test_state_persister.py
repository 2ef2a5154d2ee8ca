"""Tests of the state that a proxy restores and stores, and of the owner of its store."""

from __future__ import annotations

import errno
import json
import tempfile
from pathlib import Path
from unittest import TestCase, mock

from lupinladder.net import config, state_persister
from lupinladder.net.event_loop import EventLoop
from lupinladder.net.log import log_event
from lupinladder.net.metrics import metrics
from lupinladder.net.state_persister import StatePersister, StoreWriter, deployment_digest
from lupinladder.operator_config.settings import OperatorSettings, StoreSettings
from lupinladder.proxy import Proxy
from lupinladder.store import file_store, records
from lupinladder.store.file_store import Store
from lupinladder.store.file_system import FileSystem
from lupinladder.store.records import EndpointListRecord, LimitRecord, SlotLoadRecord, StoreOwner
from tests.support.endpoint_lists import ENTRY, configuration

NOW = 1_800_000_000_000.0
CLOSE_TIMEOUT_S = 5.0


def load_configuration() -> config.ProxyConfig:
    return config.parse(json.dumps(configuration()))


class DeploymentDigest(TestCase):
    def test_the_digest_is_the_same_as_in_earlier_versions(self) -> None:
        """With a different digest each proxy would ignore its own store after an upgrade."""
        self.assertEqual(deployment_digest(load_configuration()), "6afa77546d9adfde")  # of version 69eb350


class StoreTestCase(TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.path = self.folder / "n0.store"

    def open(self, owner: StoreOwner, now: float) -> Store:
        return Store(self.path, owner, now, log_event)


class WarmStartReport(StoreTestCase):
    def persister(self) -> StatePersister:
        settings = StoreSettings(str(self.folder / "{name}.store"))
        return StatePersister(load_configuration(), settings, NOW)

    def test_without_a_store_the_configured_list_is_used(self) -> None:
        expected = {
            "source": "config",
            "stored_age": "none",
            "recent_starts": 0,
            "limits_full": 0,
            "limits_partial": 0,
            "limits_probe": 0,
        }
        self.assertEqual(self.persister().warm_start_fields(), expected)

    def test_with_a_store_the_stored_list_and_limits_are_used(self) -> None:
        proxy_config = load_configuration()
        store = self.open(StoreOwner(proxy_config.name, deployment_digest(proxy_config)), NOW - 2_500.0)
        started_at = float(ENTRY["since_ms"])  # type: ignore[arg-type]
        store.put(EndpointListRecord(9, NOW - 1_500.0, 0, [ENTRY]))
        store.put(LimitRecord("s-1", started_at, NOW - 1_500.0, 16, 5.0, 9.0))
        store.close(NOW - 1_500.0)
        with mock.patch.object(state_persister, "log_event") as logged:
            fields = self.persister().warm_start_fields()
        logged.assert_not_called()  # a valid store is opened without log events
        expected = {
            "source": "store",
            "stored_age": "1.5 s",
            "recent_starts": 1,
            "limits_full": 1,
            "limits_partial": 0,
            "limits_probe": 0,
        }
        self.assertEqual(fields, expected)


class UnavailableStore(StoreTestCase):
    def test_the_proxy_starts_without_a_store_if_the_folder_is_unavailable(self) -> None:
        settings = OperatorSettings(store=StoreSettings(str(self.folder / "{name}.store")))
        for error_number in (errno.ENOSPC, errno.EIO, errno.EROFS, errno.EDQUOT):
            failing_lock = mock.patch.object(
                FileSystem, "lock", side_effect=OSError(error_number, "for a while")
            )
            with failing_lock, mock.patch("lupinladder.proxy.ClientListener"):
                proxy = Proxy(load_configuration(), EventLoop(), mock.Mock(), settings)
            self.assertIsNone(proxy._persister)


class Writing(StoreTestCase):
    def test_records_are_written_and_the_store_is_closed(self) -> None:
        writer = StoreWriter(self.open(StoreOwner("n0", "site"), NOW), lambda: NOW)
        writer.start()
        writer.write([SlotLoadRecord(NOW, {5: 1.0})])
        writer.finish(CLOSE_TIMEOUT_S)
        self.assertFalse(writer.is_alive())
        state = records.fold(file_store.peek(self.path))
        assert state
        self.assertEqual(state.slot_load, SlotLoadRecord(NOW, {5: 1.0}))
        self.open(StoreOwner("n0", "site"), NOW).close(NOW)  # the lock is released

    def test_an_error_is_counted_and_logged_with_its_traceback_and_the_thread_continues(self) -> None:
        store = self.open(StoreOwner("n0", "site"), NOW)
        writer = StoreWriter(store, lambda: NOW)
        errors = metrics.store_errors
        with (
            mock.patch.object(state_persister, "log_event") as logged,
            mock.patch.object(store, "flush", side_effect=[ZeroDivisionError("x"), 0, 0]),
        ):
            writer.start()
            writer.write([SlotLoadRecord(NOW, {5: 1.0})])
            writer.write([SlotLoadRecord(NOW, {6: 1.0})])
            writer.finish(CLOSE_TIMEOUT_S)
        self.assertFalse(writer.is_alive())
        self.assertEqual(metrics.store_errors, errors + 1)
        [call] = logged.call_args_list
        self.assertEqual((call.args, call.kwargs["error"]), (("store_failed",), "ZeroDivisionError: x"))
        self.assertIn("Traceback", call.kwargs["traceback"])
        self.assertFalse(writer.busy)
