"""`lupinladder store show|check|cut`: what a proxy's store holds, and how to repair it."""

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
    """What a proxy keeps over a restart: look at it, check it, cut off what is damaged.

    \b
    Example:
        lupinladder store show /var/lib/lupinladder/n1.store
    """  # noqa: D301 - click needs the control character


@store.command()
@click.argument("path", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def show(path: Path, as_json: bool) -> None:
    """What is kept, how old it is, and what a proxy that starts now would use it for.

    \b
    Example:
        lupinladder store show n1.store --json
    """  # noqa: D301 - click needs the control character
    scan = _scan(path)
    state = records.fold(scan)
    if state is None:
        message = f"{path}: {scan.damage or 'its owner cannot be read'}"
        raise InputError(message)
    tree = _describe(state, time.time() * 1000)
    if as_json:
        click.echo(json.dumps(tree))
        return
    click.echo(
        f"{path}: proxy {state.owner.proxy}, deployment {state.owner.deployment}, {scan.valid_bytes} bytes"
    )
    if scan.damage:
        click.echo(f"damaged: {scan.damage}; `lupinladder store cut` leaves the good part")
    _print_description(tree)


@store.command()
@click.argument("path", type=click.Path(path_type=Path))
def check(path: Path) -> None:
    """Whether every record is whole: exit 0, or 1 with what is wrong and where.

    \b
    Example:
        lupinladder store check n1.store
    """  # noqa: D301 - click needs the control character
    scan = _scan(path)
    size = path.stat().st_size
    if scan.damage:
        place = f"at byte {scan.valid_bytes} of {size}"
        click.echo(f"{path}: {place}: {scan.damage}; {len(scan.records)} records are good")
        raise SystemExit(EXIT_DAMAGED)
    if records.fold(scan) is None:
        click.echo(f"{path}: its first record does not say whose it is; a proxy starts without it")
        raise SystemExit(EXIT_DAMAGED)
    click.echo(f"{path}: {len(scan.records)} records, {size} bytes, all whole")


@store.command()
@click.argument("path", type=click.Path(path_type=Path))
def cut(path: Path) -> None:
    """Cut off what stands behind the last good record. The proxy must not run: its store is locked.

    \b
    Example:
        lupinladder store cut n1.store
    """  # noqa: D301 - click needs the control character
    with _locked(path):
        scan = _scan(path)
        if not scan.records:
            message = f"{path}: {scan.damage}; nothing in it can be used, remove it"
            raise InputError(message)
        damaged_bytes = path.stat().st_size - scan.valid_bytes
        if damaged_bytes:
            os.truncate(path, scan.valid_bytes)
        click.echo(f"{path}: {damaged_bytes} bytes cut off, {len(scan.records)} records kept")


def _scan(path: Path) -> record_log.ScanResult:
    try:
        return file_store.peek(path)
    except file_store.StoreError as error:
        raise InputError(str(error)) from None


@contextmanager
def _locked(path: Path) -> Iterator[None]:
    """Hold the store's lock. InputError if a proxy has it."""
    file_system = FileSystem()
    try:
        lock = file_system.lock(path.with_name(path.name + ".lock"))
    except BlockingIOError:
        message = f"{path}: a process uses this store; stop it first"
        raise InputError(message) from None
    except OSError as error:
        message = f"{path}: {error.strerror}"
        raise InputError(message) from None
    try:
        yield
    finally:
        file_system.close(lock)


def _describe(state: StoredState, now: float) -> dict[str, Any]:
    """What is kept, and what a proxy that starts now would use it for: the form of `show --json`."""
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
    """Print what `_describe` returned, a line for each record."""
    if "list" in tree:
        stored = tree["list"]
        count = f"{stored['servers']} servers"
        click.echo(f"list {stored['index']}: {count}, {stored['age']} old, good for {stored['use']}")
    for limit in tree["limits"]:
        figures = f"{limit['min_latency_ms']:.1f} ms, {limit['max_qps']:.2f}/s of {limit['samples']} samples"
        click.echo(f"{limit['server']}: {figures}, {limit['age']} old, good for {limit['use']}")
    if "slots" in tree:
        click.echo(f"hot slots: {tree['slots']['hot']}, good for {tree['slots']['use']}")
