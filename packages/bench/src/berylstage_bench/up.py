"""An installation that runs until it is interrupted, to try things by hand."""

from __future__ import annotations

import asyncio
import signal
import sys
from typing import TYPE_CHECKING

from berylstage_bench.operators import Operator
from berylstage_bench.processes import RUN_FOLDER, Installation, read_example

if TYPE_CHECKING:
    from collections.abc import Iterator


def hints(installation: Installation) -> Iterator[str]:
    """Yield the command lines to try.

    Parameters
    ----------
    installation : Installation
        Running.

    Yields
    ------
    str
    """
    first, second = list(installation.vms.values())[:2]
    yield "Callers, through any VM:"
    yield f"  curl -i http://{first.http}/field-log/visit-history/dryer-1"
    yield (
        f"  curl -i -d '1 motor' -H 'Idempotency-Key: order-1' -H "
        f'"Idempotency-Issued-At: $(date +%s)000" '
        f"http://{second.http}/parts-desk/dispatch/karaganda-depot"
    )
    yield f"  curl -s http://{first.http}/-/status"
    yield "Operators:"
    yield f"  export BERYLSTAGE_PLATFORM={installation.platform}"
    yield "  .venv/bin/berylstage status"
    yield "  .venv/bin/berylstage owner field-log dryer-1"
    yield "  .venv/bin/berylstage export -o run/edited.csv  # edit it, then apply it"
    yield f"The status page: http://{first.http}/-/"
    yield "Ctrl-C ends it."


async def run() -> None:
    """Start an installation, print what to try, and wait for a signal."""
    installation = Installation(read_example("demo"), RUN_FOLDER)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, stop.set)
    try:
        await asyncio.to_thread(installation.start)
        await Operator(installation).apply(installation.sheet)
        await installation.await_ready()
        print("\n".join(hints(installation)), flush=True)
        await stop.wait()
    finally:
        installation.stop()


if __name__ == "__main__":
    sys.exit(asyncio.run(run()))
