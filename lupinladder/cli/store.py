"""The commands `lupinladder store show`, `check` and `cut`, which inspect and repair the store of a proxy."""

from __future__ import annotations

import json
import os
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import click
import msgspec

from lupinladder.cli.errors import InputError
from lupinladder.recovery.freshness import RecordType, Source, format_age, usable_as
from lupinladder.store import file_store, record_log, records
from lupinladder.store.file_system import FileSystem
from lupinladder.store.records import EndpointListRecord, LimitRecord, SlotLoadRecord, StoredState

EXIT_DAMAGED = 1


@click.group()
def store() -> None:
    """Show, check or repair the store, which keeps a proxy's state across restarts.

    \b
    Example:
        lupinladder store show /var/lib/lupinladder/n1.store
    """  # noqa: D301 - click needs the control character


@store.command()
@click.argument("path", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print JSON for use by programs.")
def show(path: Path, as_json: bool) -> None:
    """Show the stored records, their age, and how far a proxy that starts now would use them.

    \b
    Example:
        lupinladder store show n1.store --json
    """  # noqa: D301 - click needs the control character
    scan = _scan(path)
    state = records.fold(scan)
    if state is None:
        message = f"{path}: {scan.damage or 'its first record does not name the owner'}"
        raise InputError(message)
    tree = _describe(state, time.time() * 1000)
    if as_json:
        click.echo(json.dumps(tree))
        return
    click.echo(
        f"{path}: proxy {state.owner.proxy}, deployment {state.owner.deployment}, {scan.valid_bytes} bytes"
    )
    if scan.damage:
        click.echo(f"damaged: {scan.damage}; `lupinladder store cut` keeps the valid part")
    _print_description(tree)


@store.command()
@click.argument("path", type=click.Path(path_type=Path))
def check(path: Path) -> None:
    """Check that every record is valid. The exit code is 0, or 1 if there is damage, which is then described.

    \b
    Example:
        lupinladder store check n1.store
    """  # noqa: D301 - click needs the control character
    scan = _scan(path)
    size = path.stat().st_size
    if scan.damage:
        position = f"at byte {scan.valid_bytes} of {size}"
        click.echo(f"{path}: {position}: {scan.damage}; {len(scan.records)} records are valid")
        raise SystemExit(EXIT_DAMAGED)
    if records.fold(scan) is None:
        click.echo(f"{path}: its first record does not name the owner; a proxy would ignore this store")
        raise SystemExit(EXIT_DAMAGED)
    click.echo(f"{path}: {len(scan.records)} records, {size} bytes, all valid")


@store.command()
@click.argument("path", type=click.Path(path_type=Path))
def cut(path: Path) -> None:
    """Remove the data after the last valid record. The proxy must not be running, because it locks its store.

    \b
    Example:
        lupinladder store cut n1.store
    """  # noqa: D301 - click needs the control character
    with _locked(path):
        scan = _scan(path)
        if not scan.records:
            message = f"{path}: {scan.damage}; no record is valid, so remove the file"
            raise InputError(message)
        damaged_bytes = path.stat().st_size - scan.valid_bytes
        if damaged_bytes:
            os.truncate(path, scan.valid_bytes)
        click.echo(f"{path}: {damaged_bytes} bytes removed, {len(scan.records)} records kept")


def _scan(path: Path) -> record_log.ScanResult:
    try:
        return file_store.peek(path)
    except file_store.StoreError as error:
        raise InputError(str(error)) from None


@contextmanager
def _locked(path: Path) -> Iterator[None]:
    """Hold the lock of the store. Raises InputError if a proxy holds it."""
    file_system = FileSystem()
    try:
        lock = file_system.lock(path.with_name(path.name + ".lock"))
    except BlockingIOError:
        message = f"{path}: a process uses this store; stop the process first"
        raise InputError(message) from None
    except OSError as error:
        message = f"{path}: {error.strerror}"
        raise InputError(message) from None
    try:
        yield
    finally:
        file_system.close(lock)


def _describe(state: StoredState, now: float) -> dict[str, Any]:
    """Describe the records and their usability for a proxy that starts now, as `show --json` prints them."""
    tree: dict[str, Any] = {"owner": msgspec.to_builtins(state.owner)}
    if state.endpoint_list:
        tree["list"] = _describe_list(state.endpoint_list, now)
    tree["limits"] = [_describe_limit(limit, now) for limit in state.limits.values()]
    if state.slot_load:
        tree["slots"] = _describe_slots(state.slot_load, now)
    return tree


def _describe_list(record: EndpointListRecord, now: float) -> dict[str, Any]:
    return {
        "index": record.index,
        "generation": record.generation,
        "servers": len(record.endpoints),
        "age": format_age(now - record.at),
        "use": usable_as(RecordType.ENDPOINT_LIST, Source.STORE, record.at, now).label,
    }


def _describe_limit(record: LimitRecord, now: float) -> dict[str, Any]:
    usability = usable_as(RecordType.LIMIT, Source.STORE, record.at, now, record.server_started_at)
    return {
        "server": record.server,
        "min_latency_ms": record.min_latency,
        "max_qps": record.max_qps,
        "samples": record.samples,
        "failed": record.failure_rate,
        "age": format_age(now - record.at),
        "use": usability.label,
    }


def _describe_slots(record: SlotLoadRecord, now: float) -> dict[str, Any]:
    usability = usable_as(RecordType.SLOT_LOAD, Source.STORE, record.at, now)
    return {"hot": len(record.slot_load), "use": usability.label}


def _print_description(tree: dict[str, Any]) -> None:
    """Print the result of `_describe`, one line for each record."""
    if "list" in tree:
        stored = tree["list"]
        count = f"{stored['servers']} servers"
        click.echo(f"list {stored['index']}: {count}, {stored['age']} old, good for {stored['use']}")
    for limit in tree["limits"]:
        figures = f"{limit['min_latency_ms']:.1f} ms, {limit['max_qps']:.2f}/s of {limit['samples']} samples"
        click.echo(f"{limit['server']}: {figures}, {limit['age']} old, good for {limit['use']}")
    if "slots" in tree:
        click.echo(f"hot slots: {tree['slots']['hot']}, good for {tree['slots']['use']}")
