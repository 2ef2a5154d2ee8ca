"""Reports and their comparison as tables for a terminal."""

from __future__ import annotations

from typing import Any

from rich.box import SIMPLE
from rich.console import Group, RenderableType
from rich.table import Table
from rich.text import Text

from lupinladder.emulator.report import OUTCOMES, RULES


def show(tree: dict[str, Any]) -> RenderableType:
    """The report as tables for a terminal."""
    table = Table(title=tree["about"] or None, title_justify="left", box=SIMPLE, pad_edge=False)
    table.add_column("class")
    for name in ("asked", *OUTCOMES, "in time"):
        table.add_column(name, justify="right")
    for name in ("p50", "p99", "p99.9"):
        table.add_column(name + " ms", justify="right")
    rows = [*tree["classes"].items(), ("all", tree)]
    for name, one in rows:
        latency = one["latency_ms"]
        table.add_row(
            name,
            str(one["asked"]),
            *(str(one["outcomes"].get(word, 0) or "") for word in OUTCOMES),
            f"{one['share']:.1%}",
            *(f"{latency[q]:.1f}" if q in latency else "-" for q in ("p50", "p99", "p99.9")),
        )
    phases = Table(title="by phase", title_justify="left", box=SIMPLE, pad_edge=False)
    for name in ("phase", "from s", "to s", "in time", "p50 ms", "p99 ms"):
        phases.add_column(name, justify="left" if name == "phase" else "right")
    for one in tree["phases"]:
        latency = one["latency_ms"]
        phases.add_row(
            one["name"],
            f"{one['from_s']:g}",
            f"{one['to_s']:g}",
            f"{one['share']:.1%}",
            *(f"{latency[q]:.1f}" if q in latency else "-" for q in ("p50", "p99")),
        )
    parts: list[RenderableType] = [table, phases]
    cpu = sum(one["cpu_s"] for one in tree["proxies"])
    parts.append(
        Text(
            f"worst 10 s {tree['share_worst_10s']:.1%}, worst class {tree['share_worst_class']:.1%}; "
            f"{tree['counts'].get('executions', 0)} executions, {tree['connections']} client connections, "
            f"{tree['origin_stops']} stops of the origin; proxies used {cpu:.2f} s of CPU, at most "
            f"{max(one['rss_mb'] for one in tree['proxies']):.0f} MB and "
            f"{max(one['descriptors'] for one in tree['proxies'])} descriptors each"
        )
    )
    unpaid = sum(tree["hostile"]["unpaid"].values())
    if tree["hostile"]["owed"]:
        owed = sum(tree["hostile"]["owed"].values())
        parts.append(Text(f"harmful clients: {owed} sent, {unpaid} got neither an error nor a close in time"))
    parts.append(verdict(tree))
    return Group(*parts)


def verdict(tree: dict[str, Any]) -> Text:
    """The four rules, one line each, and whether the run counts."""
    text = Text()
    for rule, meaning in RULES.items():
        count = tree["rules"][rule]
        text.append(
            "  kept    " if not count else f"  BROKEN {count:>4} ", "green" if not count else "bold red"
        )
        text.append(meaning + "\n")
    for line in tree["broken"][:10]:
        text.append("  " + line + "\n", "red")
    if len(tree["broken"]) > 10:
        text.append(f"  and {len(tree['broken']) - 10} more, in the report\n", "red")
    if tree["void"]:
        text.append(f"VOID: {tree['void']}; it says nothing of the proxies", "bold yellow")
    elif tree["kept"]:
        text.append("All four rules kept.", "bold green")
    else:
        text.append("Rules were broken.", "bold red")
    return text


def show_compared(rows: list[dict[str, Any]]) -> Table:
    table = Table()
    for name in ("figure", "before", "range", "after", "range", "change", ""):
        table.add_column(name, justify="left" if name in ("figure", "") else "right")
    for row in rows:
        table.add_row(
            row["figure"],
            f"{row['before']:.1f} {row['unit']}",
            "{:.1f} to {:.1f}".format(*row["before_range"]),
            f"{row['after']:.1f} {row['unit']}",
            "{:.1f} to {:.1f}".format(*row["after_range"]),
            f"{row['after'] - row['before']:+.1f}",
            "clear" if row["clear"] else "within the spread",
        )
    return table
