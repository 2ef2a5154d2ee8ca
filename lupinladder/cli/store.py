"""`lupinladder store show|check|cut`: what a proxy's store holds, whether it is whole, and how to mend it."""

from __future__ import annotations

import json
import os
import time
from pathlib import Path
from typing import Any

import click
import msgspec

from lupinladder.cli.errors import InputError
from lupinladder.recovery.freshness import RecordType, Source, Usability, format_age, usable_as
from lupinladder.store import file_store, record_log, records
from lupinladder.store.file_system import FileSystem


def _scan(path: Path) -> record_log.ScanResult:
    try:
        return file_store.peek(path)
    except file_store.StoreError as bad:
        raise InputError(str(bad)) from None


@click.group()
def store() -> None:
    """What a proxy keeps over a restart: look at it, check it, cut off what is damaged.

    \b
    Example:
        lupinladder store show /var/lib/lupinladder/n1.store
    """


def _tree(found: records.StoredState, now: float) -> dict[str, Any]:
    """What is kept, and what it would be used for by a proxy that starts now."""

    def use(thing: RecordType, at: float, since: float = 0.0) -> str:
        return Usability(usable_as(thing, Source.STORE, at, now, since)).name.lower()

    tree: dict[str, Any] = {"owner": msgspec.to_builtins(found.owner)}
    if found.listing:
        one = found.listing
        tree["list"] = {
            "index": one.index,
            "generation": one.generation,
            "servers": len(one.endpoints),
            "age": format_age(now - one.at),
            "use": use(RecordType.MEMBER, one.at),
        }
    tree["limits"] = [
        {
            "server": one.server,
            "min_latency_ms": one.min_latency,
            "max_qps": one.max_qps,
            "samples": one.samples,
            "failed": one.failed,
            "age": format_age(now - one.at),
            "use": use(RecordType.LIMIT, one.at, one.since),
        }
        for one in found.limits.values()
    ]
    if found.slots:
        tree["slots"] = {"hot": len(found.slots.heat), "use": use(RecordType.SLOT, found.slots.at)}
    return tree


@store.command()
@click.argument("path", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="For programs.")
def show(path: Path, as_json: bool) -> None:
    """What is kept, how old it is, and what a proxy that starts now would use it for.

    \b
    Example:
        lupinladder store show n1.store --json
    """
    scan = _scan(path)
    found = records.fold(scan)
    if found is None:
        raise InputError(f"{path}: {scan.why or 'its owner cannot be read'}")
    tree = _tree(found, time.time() * 1000)
    if as_json:
        click.echo(json.dumps(tree))
        return
    click.echo(f"{path}: proxy {found.owner.proxy}, deployment {found.owner.site}, {scan.good} bytes")
    if scan.why:
        click.echo(f"damaged: {scan.why}; `lupinladder store cut` leaves the good part")
    if "list" in tree:
        one = tree["list"]
        click.echo(f"list {one['index']}: {one['servers']} servers, {one['age']} old, good for {one['use']}")
    for one in tree["limits"]:
        figures = f"{one['min_latency_ms']:.1f} ms, {one['max_qps']:.2f}/s of {one['samples']} samples"
        click.echo(f"{one['server']}: {figures}, {one['age']} old, good for {one['use']}")
    if "slots" in tree:
        click.echo(f"hot slots: {tree['slots']['hot']}, good for {tree['slots']['use']}")


@store.command()
@click.argument("path", type=click.Path(path_type=Path))
def check(path: Path) -> None:
    """Whether every record is whole: exit 0, or 1 with what is wrong and where.

    \b
    Example:
        lupinladder store check n1.store
    """
    scan = _scan(path)
    size = path.stat().st_size
    if scan.why:
        click.echo(f"{path}: at byte {scan.good} of {size}: {scan.why}; {len(scan.records)} records are good")
        raise SystemExit(1)
    if records.fold(scan) is None:
        click.echo(f"{path}: its first record does not say whose it is; a proxy starts without it")
        raise SystemExit(1)
    click.echo(f"{path}: {len(scan.records)} records, {size} bytes, all whole")


@store.command()
@click.argument("path", type=click.Path(path_type=Path))
def cut(path: Path) -> None:
    """Cut off what stands behind the last good record. The proxy must not run: its store is locked.

    \b
    Example:
        lupinladder store cut n1.store
    """
    disk = FileSystem()
    try:
        lock = disk.lock(path.with_name(path.name + ".lock"))
    except BlockingIOError:
        raise InputError(f"{path}: a process uses this store; stop it first") from None
    except OSError as bad:
        raise InputError(f"{path}: {bad.strerror}") from None
    try:
        scan = _scan(path)
        if not scan.records:
            raise InputError(f"{path}: {scan.why}; nothing in it can be used, remove it")
        gone = path.stat().st_size - scan.good
        if gone:
            os.truncate(path, scan.good)
        click.echo(f"{path}: {gone} bytes cut off, {len(scan.records)} records kept")
    finally:
        disk.close(lock)
