"""Shows reports and comparisons as tables on a terminal."""

from __future__ import annotations

from typing import Any

from rich.box import SIMPLE
from rich.console import Group, RenderableType
from rich.table import Table
from rich.text import Text

from lupinladder.emulator.report_comparison import Comparison
from lupinladder.emulator.result_statistics import OUTCOMES
from lupinladder.emulator.rule_violation import Rule

MAX_VIOLATIONS_SHOWN = 10
RULE_DESCRIPTIONS = {
    Rule.ONE_ANSWER: "one final answer to each request, in time",
    Rule.NO_DUPLICATE_EFFECT: "nothing sent again that may have been executed",
    Rule.DRAIN: "no new requests from 1.5 s after notice that a server is draining",
    Rule.NO_OVERLOAD: "neither a warming server nor the origin overloaded",
}


def show(report: dict[str, Any]) -> RenderableType:
    """Return a report as tables, followed by the verdict on the rules."""
    parts: list[RenderableType] = [_class_table(report), _phase_table(report), Text(_summary(report))]
    sent = sum(report["hostile"]["owed"].values())
    if sent:
        unpaid = sum(report["hostile"]["unpaid"].values())
        summary = f"misbehaving clients: {sent} sent, {unpaid} got neither an error nor a close in time"
        parts.append(Text(summary))
    parts.append(verdict(report))
    return Group(*parts)


def _class_table(report: dict[str, Any]) -> Table:
    table = Table(title=report["about"] or None, title_justify="left", box=SIMPLE, pad_edge=False)
    table.add_column("class")
    for name in ("asked", *OUTCOMES, "in time", "p50 ms", "p99 ms", "p99.9 ms"):
        table.add_column(name, justify="right")
    for name, row in [*report["classes"].items(), ("all", report)]:
        table.add_row(
            name,
            str(row["asked"]),
            *(str(row["outcomes"].get(outcome, 0) or "") for outcome in OUTCOMES),
            f"{row['share']:.1%}",
            *_percentiles(row["latency_ms"], "p50", "p99", "p99.9"),
        )
    return table


def _phase_table(report: dict[str, Any]) -> Table:
    table = Table(title="by phase", title_justify="left", box=SIMPLE, pad_edge=False)
    table.add_column("phase")
    for name in ("from s", "to s", "in time", "p50 ms", "p99 ms"):
        table.add_column(name, justify="right")
    for phase in report["phases"]:
        table.add_row(
            phase["name"],
            f"{phase['from_s']:g}",
            f"{phase['to_s']:g}",
            f"{phase['share']:.1%}",
            *_percentiles(phase["latency_ms"], "p50", "p99"),
        )
    return table


def _percentiles(latency: dict[str, float], *names: str) -> list[str]:
    return [f"{latency[name]:.1f}" if name in latency else "-" for name in names]


def _summary(report: dict[str, Any]) -> str:
    proxies = report["proxies"]
    cpu = sum(proxy["cpu_s"] for proxy in proxies)
    memory = max(proxy["rss_mb"] for proxy in proxies)
    descriptors = max(proxy["descriptors"] for proxy in proxies)
    return (
        f"worst 10 s {report['share_worst_10s']:.1%}, worst class {report['share_worst_class']:.1%}; "
        f"{report['counts'].get('executions', 0)} attempts, {report['connections']} client connections, "
        f"{report['origin_stops']} stops of the origin; proxies used {cpu:.2f} s of CPU, at most "
        f"{memory:.0f} MB and {descriptors} descriptors each"
    )


def verdict(report: dict[str, Any]) -> Text:
    """Return one line for each of the four rules, the first violations, and whether the run is valid."""
    text = Text()
    for rule, description in RULE_DESCRIPTIONS.items():
        count = report["rules"][rule]
        if count:
            text.append(f"  BROKEN {count:>4} ", "bold red")
        else:
            text.append("  kept    ", "green")
        text.append(description + "\n")
    for violation in report["broken"][:MAX_VIOLATIONS_SHOWN]:
        text.append(f"  {violation}\n", "red")
    if len(report["broken"]) > MAX_VIOLATIONS_SHOWN:
        text.append(f"  and {len(report['broken']) - MAX_VIOLATIONS_SHOWN} more, in the report\n", "red")
    if report["void"]:
        text.append(f"VOID: {report['void']}; the run says nothing about the proxies", "bold yellow")
    elif report["kept"]:
        text.append("All four rules kept.", "bold green")
    else:
        text.append("Rules were broken.", "bold red")
    return text


def show_compared(comparisons: list[Comparison]) -> Table:
    """Return a comparison of reports as a table with one row per figure."""
    table = Table()
    for name in ("figure", "before", "range", "after", "range", "change", ""):
        table.add_column(name, justify="left" if name in ("figure", "") else "right")
    for row in comparisons:
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
