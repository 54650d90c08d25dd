"""What a request to a target costs its sender, beside tornado's own fetch()."""

from __future__ import annotations

import asyncio
import resource
import subprocess
import sys
import time
from pathlib import Path
from typing import TYPE_CHECKING

from berylstage_targets.http import HttpTargetClient
from berylstage_targets.target import WorkRequest
from hdrh.histogram import HdrHistogram
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# Requests of one measurement, and those before it that open the connections.
REQUESTS = 4000
WARM_UP = 400
# Requests under way at once.
CONCURRENCIES = (1, 10, 50)
# Connections that a target accepts.
CONNECTIONS = 120
# Clients made to see what one takes in memory, and the calls at once in each.
CLIENTS = (20, 40, 80)
CALLS_AT_ONCE = (1, 2, 4, 8)
BODY = b'{"visit": "2026-03-12", "state": "dry"}'


class Cost:
    """What one measurement gave.

    Parameters
    ----------
    processor_us : float
        Processor time of the sender for one request, in microseconds.
    p50_us, p99_us : float
        Latency in microseconds.
    rate : float
        Requests a second.
    """

    __slots__ = ("p50_us", "p99_us", "processor_us", "rate")

    def __init__(self, processor_us: float, p50_us: float, p99_us: float, rate: float):
        self.processor_us = processor_us
        self.p50_us = p50_us
        self.p99_us = p99_us
        self.rate = rate


async def measure(send: Callable[[int], Awaitable[None]], concurrency: int) -> Cost:
    """Send a number of requests and return what they cost.

    Parameters
    ----------
    send : callable
        Sends the request of a number and waits for its answer.
    concurrency : int

    Returns
    -------
    Cost
    """
    hist = HdrHistogram(1, 60_000_000, 3)
    numbers = iter(range(WARM_UP + REQUESTS))

    async def worker(count: int) -> None:
        for _ in range(count):
            start = time.perf_counter()
            await send(next(numbers))
            hist.record_value(int((time.perf_counter() - start) * 1e6))

    async def burst(requests: int) -> None:
        share = requests // concurrency
        await asyncio.gather(*(worker(share) for _ in range(concurrency)))

    await burst(WARM_UP)
    hist.reset()
    began, spent = time.perf_counter(), time.process_time()
    await burst(REQUESTS)
    spent = time.process_time() - spent
    seconds = time.perf_counter() - began
    return Cost(
        spent / REQUESTS * 1e6,
        hist.get_value_at_percentile(50),
        hist.get_value_at_percentile(99),
        REQUESTS / seconds,
    )


def work_request(number: int) -> WorkRequest:
    """Return a request for work."""
    return WorkRequest(
        request_id=f"client-{number}",
        service="field-log",
        kind="lookup",
        key=f"dryer-{number}",
        shard="",
        fence=0,
        epoch=0,
        method="GET",
        body=BODY,
        content_type="application/json",
        deadline=time.time() + 5.0,
        timeout=5.0,
    )


async def by_client(address: str, concurrency: int) -> Cost:
    """Measure the client that the daemon uses."""
    client = HttpTargetClient(address, CONNECTIONS, "vm-1")

    async def send(number: int) -> None:
        await client.send(work_request(number))

    try:
        return await measure(send, concurrency)
    finally:
        await client.close()


async def by_fetch(address: str, concurrency: int) -> Cost:
    """Measure tornado's fetch() with the same headers."""
    client = CurlAsyncHTTPClient(force_instance=True, max_clients=CONNECTIONS)

    async def send(number: int) -> None:
        headers = {
            "Request-Id": f"fetch-{concurrency}-{number}",
            "Fence": "0",
            "Epoch": "0",
            "Deadline-Unix-Ms": str(int((time.time() + 5.0) * 1000)),
            "Original-Method": "GET",
            "Content-Type": "application/json",
            "Vm": "vm-1",
        }
        req = HTTPRequest(
            f"http://{address}/work/field-log/lookup/dryer-{number}",
            method="POST",
            body=BODY,
            headers=headers,
            request_timeout=5.0,
        )
        await client.fetch(req)

    try:
        return await measure(send, concurrency)
    finally:
        client.close()


def resident_kb() -> float:
    """Return the resident memory of this process in kilobytes."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1024


async def show_memory(address: str) -> None:
    """Print what clients take in memory, idle and after calls at once."""
    before = resident_kb()
    clients: list[HttpTargetClient] = []
    for count in CLIENTS:
        while len(clients) < count:
            clients.append(HttpTargetClient(address, CONNECTIONS, "vm-1"))
        print(f"{count} clients, idle: {resident_kb() - before:.0f} KB")
    idle = resident_kb()
    for at_once in CALLS_AT_ONCE:
        for client in clients:
            sends = [client.send(work_request(n)) for n in range(at_once)]
            await asyncio.gather(*sends)
        added = (resident_kb() - idle) / len(clients)
        print(f"{at_once} calls at once add for each client: {added:.0f} KB")
    for client in clients:
        await client.close()


def show(name: str, concurrency: int, cost: Cost) -> None:
    """Print one line of the table."""
    print(
        f"{name:<10} {concurrency:>12} {cost.processor_us:>12.0f} "
        f"{cost.p50_us:>9.0f} {cost.p99_us:>9.0f} {cost.rate:>9.0f}"
    )


def main() -> None:
    """Print what a request costs at several concurrencies."""
    command = [sys.executable, "-m", "berylstage_bench.echo_target"]
    target = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
    assert target.stdout is not None
    address = target.stdout.readline().split()[-1]
    print("sender       concurrency processor us    p50 us    p99 us    req/s")
    try:
        for concurrency in CONCURRENCIES:
            show("fetch()", concurrency, asyncio.run(by_fetch(address, concurrency)))
            show("client", concurrency, asyncio.run(by_client(address, concurrency)))
        asyncio.run(show_memory(address))
    finally:
        target.terminate()
        target.wait()
        target.stdout.close()


if __name__ == "__main__":
    main()
