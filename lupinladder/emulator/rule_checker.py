"""The referee: holds the four rules of the operators against what was seen on the sockets of both sides.

Free of I/O, and of anything that a proxy says of itself: it is told what clients wrote and read, what nodes
and the origin got and answered, and what discovery wrote to whom. Every time is in ms on one clock, the
lab's, and taken where the bytes were read or written; PROTOCOL, "The rules on sockets", grants 50 ms.
"""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

from lupinladder.emulator.observed_request import ObservedAttempt, ObservedRequest, RuleViolation
from lupinladder.emulator.scenario import RequestClassConfig

__all__ = ["GRACE", "SLACK", "ObservedAttempt", "RuleChecker", "RuleViolation"]

SLACK = 50.0  # ms that every time limit is longer on sockets
GRACE = 20.0  # past the client's deadline
DRAIN = 1500.0
TOLD_AT_LATEST, TOLD_AFTER_HUP = 6000.0, 4000.0
OVERLOAD, FALL_MS, SPARE = 3.0, 1000.0, 250.0  # of a cold node; ms of work allowed for chance
STOPPING = 700.0  # after SIGTERM for which what comes must still be answered
KEEP_MS = 20_000.0  # for which a query that is over is remembered
SHOWN = 240  # bytes of a command or an answer in a finding


@dataclass(slots=True)
class _Cold:
    """What reached a server that started cold: the window of the fall, and who sent it."""

    started: float
    until: float
    capacity: Callable[[float], float]
    sent: deque[tuple[float, float, bool]] = field(default_factory=deque)  # when, work, by one who was told
    total: float = 0.0
    knew: float = 0.0
    fallen: bool = False


class RuleChecker:
    """`now` of each call never goes back. `broken` holds what was found, in order."""

    def __init__(
        self, classes: list[RequestClassConfig], proxies: int, start: float, unanswered: str = "lost"
    ) -> None:
        self.start = start  # of the counted part, ms
        self.broken: list[RuleViolation] = []
        self.counts: Counter[str] = Counter()
        self.rates: dict[str, Counter[int]] = {}  # how often something happened, by tenths of a second
        self._classes, self._lost = classes, unanswered == "lost"
        self._queries: OrderedDict[bytes, ObservedRequest] = OrderedDict()
        self._due: deque[ObservedRequest] = deque()
        self._told: list[dict[str, float]] = [
            {} for _ in range(proxies)
        ]  # server: told to stop sending since
        self._known: list[dict[str, float]] = [{} for _ in range(proxies)]  # server: told of it since
        self._lives = [0] * proxies
        self._up = [False] * proxies
        self._frozen: list[list[tuple[float, float]]] = [[] for _ in range(proxies)]  # when each stood still
        self._stopping: list[float | None] = [None] * proxies
        self._cold: dict[str, _Cold] = {}
        self._origin: deque[tuple[float, float, bool]] = deque()

    def _find(self, rule: str, now: float, proxy: int, query: bytes, what: str, data: bytes = b"") -> None:
        shown = data[:SHOWN]
        text = repr(shown)[1:] + (f" and {len(data) - SHOWN} bytes more" if len(data) > SHOWN else "")
        self.counts["broken_" + rule] += 1
        self.broken.append(
            RuleViolation(
                rule, (now - self.start) / 1000, proxy, query.decode("latin-1"), what, text if data else ""
            )
        )

    def tick(self, what: str, now: float) -> None:
        """Something that all proxies together must not do too often has happened."""
        self.rates.setdefault(what, Counter())[int((now - self.start) // 100)] += 1

    # The proxies' lives

    def proxy_up(self, now: float, proxy: int) -> None:
        """It answered PING after a start. It knows nothing but what its configuration told it."""
        self._lives[proxy] += 1
        self._up[proxy], self._stopping[proxy] = True, None
        self._told[proxy], self._known[proxy] = {}, {}

    def proxy_killed(self, now: float, proxy: int) -> None:
        """By the lab. What it held is excused."""
        self._up[proxy] = False
        for query in self._queries.values():
            if not query.over and query.proxy == proxy:
                query.over, query.ended = "excused", now

    def proxy_frozen(self, now: float, proxy: int) -> None:
        """The lab has stopped it (SIGSTOP). What is open meanwhile is excused; no other rule is."""
        self._frozen[proxy].append((now, inf))

    def proxy_thawed(self, now: float, proxy: int) -> None:
        """It was let go."""
        self._frozen[proxy].append((self._frozen[proxy].pop()[0], now))

    def _stood(self, query: ObservedRequest, now: float) -> bool:
        return any(begin <= now and query.taken <= end for begin, end in self._frozen[query.proxy])

    def proxy_stopping(self, now: float, proxy: int) -> None:
        """SIGTERM was sent to it."""
        self._stopping[proxy] = now

    def proxy_ended(self, now: float, proxy: int) -> None:
        """It ended after SIGTERM. What it had taken in time and not answered is lost."""
        self._up[proxy] = False
        told = self._stopping[proxy] or now
        for query in self._queries.values():
            if query.over or query.proxy != proxy or query.life != self._lives[proxy]:
                continue
            query.over, query.ended = "excused", now
            if query.taken <= told + STOPPING:
                self._find("lost", now, proxy, query.ident, "the proxy ended without answering it", query.raw)

    def proxy_died(self, now: float, proxy: int, code: int) -> None:
        """It ended though nobody told it to, or with another code than 0."""
        self._find("lost", now, proxy, b"", f"the proxy ended with {code}")
        self.proxy_killed(now, proxy)

    # Clients' side

    def taken(self, now: float, proxy: int, ident: bytes, kind: int, wait: float, raw: bytes) -> None:
        """A client has written the last byte of a command that gives `d` = wait ms."""
        query = ObservedRequest(ident, kind, now + wait, proxy, self._lives[proxy], raw, taken=now)
        self._queries[ident] = query
        self._due.append(query)
        self.counts["taken"] += 1

    def again(self, now: float, ident: bytes) -> None:
        """The connection was closed between commands and the client sends this one on a new one."""
        self.counts["crossed_a_close"] += 1
        query = self._queries.get(ident)
        if query and query.attempts and self._up[query.proxy]:
            what = "its connection was ended without an answer, though it had been read and sent on"
            self._find("lost", now, query.proxy, ident, what, query.raw)

    def answered(self, now: float, ident: bytes, answer: str, value: bytes, raw: bytes) -> None:
        """A whole answer was read: served, refused or failed."""
        query = self._queries.get(ident)
        if query is None or query.over == "gone":
            return
        crossed = (
            query.over == "excused" and now <= query.ended + SLACK
        )  # its bytes were there before the end
        if query.over and not crossed:
            self._find("lost", now, query.proxy, ident, f"a second final answer after {query.over}", raw)
            return
        query.over, query.ended = answer, now
        self.counts[answer] += 1
        if now > query.deadline + GRACE + SLACK and not self._stood(query, now):
            self._find(
                "lost", now, query.proxy, ident, f"answered {now - query.deadline:.0f} ms too late", raw
            )
        if answer == "served" and value not in query.made:
            self._find("lost", now, query.proxy, ident, "served what no server made for it", raw)
        if answer == "refused" and self._classes[query.kind].repeat == "unsafe":
            for one in query.attempts:
                if one.state != "never":
                    self._find(
                        "effect",
                        now,
                        query.proxy,
                        ident,
                        f"refused though it may have run at {one.server}",
                        one.raw,
                    )
                    break

    def ended(self, now: float, ident: bytes, part: bytes) -> None:
        """The proxy ended the connection with no whole answer to this query."""
        query = self._queries.get(ident)
        if query is None or query.over:
            return
        query.ended = now
        if part and query.attempts:  # the client can tell that it is not whole
            query.over = "failed"
            self.counts["cut_off"] += 1
        elif not self._up[query.proxy] or self._lives[query.proxy] != query.life:
            query.over = "excused"
        else:
            query.over = "failed"
            self._find(
                "lost", now, query.proxy, ident, "its connection was ended without an answer", query.raw
            )

    def gone(self, now: float, ident: bytes) -> None:
        """The client has given up and closed. An answer that comes now reaches nobody."""
        query = self._queries.get(ident)
        if query and not query.over:
            self._unanswered(now, query)

    def extra(self, now: float, proxy: int, last: bytes, raw: bytes) -> None:
        """Bytes came on a connection on which nothing was owed."""
        self._find("lost", now, proxy, last, "bytes that no query was owed", raw)

    def _unanswered(self, now: float, query: ObservedRequest) -> None:
        query.ended = now
        up = self._up[query.proxy] and self._lives[query.proxy] == query.life
        if not up or self._stood(query, now):
            query.over = "excused"
            return
        query.over = "gone"
        self.counts["unanswered"] += 1
        if self._lost:
            self._find(
                "lost", now, query.proxy, query.ident, "no answer before its client gave up", query.raw
            )

    # Servers' side

    def sent(
        self, now: float, first: float, proxy: int, server: str, ident: bytes, raw: bytes
    ) -> ObservedAttempt:
        """A whole command has come to a cache node or the origin; `first` is when its first byte did."""
        attempt = ObservedAttempt(first, server, raw)
        self.counts["executions"] += 1
        told = self._told[proxy].get(server)
        if told is not None and first > told + DRAIN + SLACK:
            late = first - told
            self._find(
                "drain", now, proxy, ident, f"sent to {server} {late:.0f} ms after word of its end", raw
            )
        query = self._queries.get(ident)
        if query is None:
            self._find("effect", now, proxy, ident, f"sent to {server} though no client asked it", raw)
            return attempt
        self._effects(now, first, query, attempt)
        query.attempts.append(attempt)
        return attempt

    def _effects(self, now: float, first: float, query: ObservedRequest, attempt: ObservedAttempt) -> None:
        kind = self._classes[query.kind]
        risky = [one for one in query.attempts if one.state != "never"]
        if query.over and query.over != "excused" and now > query.ended + SLACK:
            self._find(
                "effect", now, query.proxy, query.ident, f"sent after it was {query.over}", attempt.raw
            )
        if not risky or kind.repeat == "safe":
            return
        if kind.repeat == "unsafe":
            what = f"sent to {attempt.server} though it may have run at {risky[0].server}"
            self._find("effect", now, query.proxy, query.ident, what, attempt.raw)
        elif first > risky[0].at + kind.window_ms + SLACK:
            what = f"sent again {first - risky[0].at:.0f} ms after its first sending"
            self._find("effect", now, query.proxy, query.ident, what, attempt.raw)

    def replied(
        self, now: float, ident: bytes, attempt: ObservedAttempt, word: str, value: bytes = b""
    ) -> None:
        """A server has written its answer: hit, value, receipt (these with the value), miss, pending, busy
        or failed."""
        if word in ("busy", "miss", "pending"):
            attempt.state = "never"
        elif word in ("hit", "value", "receipt"):
            attempt.state = "done"
            query = self._queries.get(ident)
            if query:
                query.made.add(value)
        else:
            attempt.state = "may"

    def broke(self, attempt: ObservedAttempt) -> None:
        """Its connection ended with nothing answered: it may have run."""
        if attempt.state == "out":
            attempt.state = "may"

    # Discovery

    def told(self, now: float, proxy: int, server: str, status: str) -> None:
        """Discovery has written this status to the proxy (or must count as having done so by now)."""
        if status == "active":
            self._told[proxy].pop(server, None)
            self._known[proxy].setdefault(server, now)
        else:
            self._told[proxy].setdefault(server, now)

    def told_whole(self, now: float, proxy: int, servers: set[str]) -> None:
        """Discovery has written a whole list: whoever is missing from it is gone."""
        for server in set(self._known[proxy]) - servers:
            self._told[proxy].setdefault(server, now)

    # Cold servers

    def cold(self, now: float, server: str, warm_ms: float, capacity: Callable[[float], float]) -> None:
        """A server has started cold; `capacity(now)` is in ms of work a ms."""
        self._cold[server] = _Cold(now, now + warm_ms, capacity)

    def load(self, now: float, proxy: int, server: str, work: float) -> bool:
        """Work has come to a server, also what it turned away. True: a cold one has fallen over under it."""
        cold = self._cold.get(server)
        if cold is None or cold.fallen:
            return False
        if now > cold.until:
            del self._cold[server]
            return False
        self.tick("sends to cold nodes", now)
        knew = proxy >= 0 and server in self._known[proxy]
        cold.sent.append((now, work, knew))
        cold.total += work
        cold.knew += work if knew else 0.0
        while cold.sent[0][0] < now - FALL_MS:
            _, old, known = cold.sent.popleft()
            cold.total -= old
            cold.knew -= old if known else 0.0
        bound = OVERLOAD * cold.capacity(now) * FALL_MS + SPARE
        if cold.total <= bound:
            return False
        cold.fallen = True
        self.counts["fallen"] += 1
        if cold.knew >= cold.total * 2 / 3:
            what = f"{server}, {now - cold.started:.0f} ms old, fell over: {cold.total:.0f} ms of work"
            self._find("cold", now, proxy, b"", f"{what}, {bound:.0f} allowed in a second")
        return True

    def origin_load(self, now: float, work: float, cold_miss: bool, span: float) -> None:
        """Work has come to the origin; whether a miss at a cold node made it."""
        self.tick("fetches", now)
        self._origin.append((now, work, cold_miss))
        while self._origin[0][0] < now - span:
            self._origin.popleft()

    def origin_stopped(self, now: float) -> None:
        """It was sent too much. The rule is broken if misses at cold nodes made much of that."""
        total = sum(work for _, work, _ in self._origin)
        cold = sum(work for _, work, is_cold in self._origin if is_cold)
        self.counts["origin_stops"] += 1
        share = cold / total if total else 0.0
        if share > 0.3:
            self._find("cold", now, -1, b"", f"the origin stopped; cold misses made {share:.0%} of its load")

    def is_cold(self, now: float, server: str) -> bool:
        cold = self._cold.get(server)
        return cold is not None and now <= cold.until

    # Time

    def sweep(self, now: float) -> None:
        """Find queries whose time has run out, and forget what was over long ago."""
        while self._due and self._due[0].over:
            self._due.popleft()
        for query in self._due:
            if not query.over and now > query.deadline + GRACE + SLACK + 2 * SLACK:
                self._unanswered(now, query)
        while self._queries:
            query = next(iter(self._queries.values()))
            if not query.over or query.ended > now - KEEP_MS:
                break
            self._queries.popitem(last=False)

    @property
    def open(self) -> int:
        """Queries that wait for their answer."""
        return sum(1 for query in self._queries.values() if not query.over)
