"""A backend is cut off by resets for a second, and its keys go to others at once."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    Installation,
    make_configuration,
    make_route,
    run,
    watch_holders,
)

CUT_SECONDS = 1.0
CUTS = 4


async def case(record, folder, trouble):
    """Cut one backend after the other, and watch who holds keys."""
    installation = Installation(folder, record)
    for _ in range(4):
        installation.add_backend("s").sharded = True
    for _ in range(3):
        installation.add_vm()
    routes = [make_route("lookups", "/a/", "safe", "s")]
    is_cut = {b.name: False for b in installation.backends}
    breaks = []
    try:
        await installation.start(make_configuration({"s": True}, routes))
        watcher = asyncio.create_task(
            watch_holders(installation, breaks, lambda b: is_cut[b.name])
        )
        await asyncio.sleep(8.0)
        for number in range(CUTS):
            target = installation.backends[number % len(installation.backends)]
            if trouble:
                record(f"cut begins: all links of {target.name} are reset")
                is_cut[target.name] = True
                await target.shut(reset=True)
            await asyncio.sleep(CUT_SECONDS)
            if trouble:
                await target.open()
                is_cut[target.name] = False
                record(f"cut ends: {target.name} never ended, and holds {target.holds}")
            await asyncio.sleep(7.0)
        watcher.cancel()
    finally:
        await installation.stop()
    return breaks


if __name__ == "__main__":
    run(str(Path(__file__).resolve().parent), case)
