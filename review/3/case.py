"""Ten bad clients send empty commands at full speed; usual clients wait for their answers meanwhile."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    BROKEN,
    HELD,
    TROUBLE,
    LagMeter,
    Platform,
    Record,
    UsualClients,
    robezas_settings,
    run_case,
    small_deployment,
)

RATE = 60.0  # requests a second, of the 190 of the deployment, at one of its three proxies
BAD_CLIENTS = 10
BAD_S = 6.0


async def case(record: Record, platform: Platform) -> int:
    """Run the case."""
    discovery, _, _ = await small_deployment(record)
    proxy = platform.start_proxy(discovery, robezas_settings())
    await proxy.until_ready()
    clients = UsualClients(record, proxy.port)
    lag = LagMeter()
    meter = asyncio.create_task(lag.run())
    load = asyncio.create_task(clients.run(12, RATE))
    await asyncio.sleep(3)
    if TROUBLE:
        record.say(f"{BAD_CLIENTS} bad clients begin to send empty commands, for {BAD_S:.0f} s")
        for _ in range(BAD_CLIENTS):
            platform.start_child(str(FOLDER / "bad_client.py"), str(proxy.port), str(BAD_S))
    await load
    await clients.until_answered()
    meter.cancel()
    lost = clients.lost(lag.longest_s)
    kinds = sorted({kind for kind, _ in clients.results})
    record.say(f"requests {len(clients.results)}, answers: {', '.join(kinds)}")
    record.say(f"longest wait {max(at for _, at in clients.results):.2f} s of {clients.time_s} s allowed")
    record.say(f"own lag at most {lag.longest_s:.3f} s; lost requests: {len(lost)}")
    return BROKEN if lost else HELD


sys.exit(run_case(FOLDER, case))
