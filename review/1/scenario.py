"""Backends reject some orders, and send a few of their answers once more, late.

The orders have a key, so that a rejected one is sent to the same backend again, with
the id that it had. A copy of the rejection may arrive where the answer to that second
sending is expected. The rules REFUSED and TWICE are checked for each id. Clients come
back once after a promise that an order has not run, with a new id.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from collections import Counter
from pathlib import Path

from standins import (
    Backend,
    Clients,
    Deployment,
    Message,
    Record,
    Vm,
    encode_answer,
    encode_configuration,
    has_trouble,
    make_route,
    make_service,
    play,
    wait_until_served,
)

ZONES = ["stgo-norte", "rancagua-sur", "valpo-puerto"]
VMS = 4
BACKENDS = 12
SLOTS = 4
KEYS = 65536
# Seconds of one run: tramite-pago takes 120 ms.
WORK_SECONDS = (0.06, 0.18)
ORDERS_PER_SECOND = 60
PLAY_SECONDS = 80.0
# Largest dose of `garble` with `extra late` in the site file.
GARBLED_BACKENDS = 0.6
GARBLED_ANSWERS = 0.03
GARBLE_SECONDS = 5.0
# Largest dose of `srv_grey` with `shed all`.
SHED_ORDERS = 0.55
SHED_SECONDS = 8.5
PAUSE_SECONDS = 1.0
# Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)
# Time in which an order may still run after the last answer.
END_SECONDS = 2.0


class Trouble:
    """Whether backends reject orders and send extra answers now."""

    def __init__(self) -> None:
        self.is_shedding = False
        self.is_garbling = False


class GreyBackend(Backend):
    """A backend that rejects some orders, and may send extra answers."""

    def __init__(self, *args, trouble: Trouble, is_faulty: bool, **options):
        super().__init__(*args, **options)
        self.trouble = trouble
        self.is_faulty = is_faulty

    def extra_answer(self, req: Message, answer: bytes) -> bytes:
        """Repeat a few answers."""
        if not self.trouble.is_garbling or not self.is_faulty:
            return b""
        if random.random() >= GARBLED_ANSWERS:
            return b""
        request_id = req.headers.get("berylstage-attempt-id", "")
        self.record.add(
            f"extra answer of {self.name} to {req.start[1]} {request_id}, late"
        )
        return answer

    def sent_late_answer(self, req: Message) -> None:
        """Record the request whose answer comes after the extra one."""
        request_id = req.headers.get("berylstage-attempt-id", "")
        self.record.add(
            f"extra answer of {self.name} in place of {req.start[1]} {request_id}"
        )

    async def _work(self, req: Message, headers: dict[str, str]) -> bytes:
        if self.trouble.is_shedding and random.random() < SHED_ORDERS:
            request_id = req.headers["berylstage-attempt-id"]
            self.record.add(f"{self.name} rejects {request_id}")
            headers["Berylstage-Attempt-Id"] = request_id
            headers["Berylstage-Not-Executed"] = "1"
            return encode_answer(503, headers, b"")
        self.work_seconds = random.uniform(*WORK_SECONDS)
        return await super()._work(req, headers)


def make_configuration() -> bytes:
    """Return a configuration with orders to a service that is divided by key."""
    route = make_route("orders", "unsafe", "window", 1000, 400)
    return encode_configuration("r7", [make_service("window", True)], [route])


async def play_rejections(record: Record) -> bool:
    """Play the case and return whether the rules held."""
    deployment = Deployment(record, ZONES, VMS)
    try:
        return await _play(record, deployment)
    finally:
        deployment.stop()


async def _play(record: Record, deployment: Deployment) -> bool:
    trouble, clients = Trouble(), Clients(record)
    deployment.store.put("op/config", make_configuration())
    for n in range(BACKENDS):
        await deployment.add_backend(
            "window",
            ZONES[n % len(ZONES)],
            kind=GreyBackend,
            slots=SLOTS,
            sharded=True,
            trouble=trouble,
            is_faulty=n < int(GARBLED_BACKENDS * BACKENDS),
        )
    await deployment.start()
    keys = range(0, KEYS, KEYS // 8)
    await wait_until_served(deployment, clients, "POST", "/orders/first", keys)
    record.add("traffic starts")
    tasks = [
        asyncio.create_task(_shed(record, trouble)),
        asyncio.create_task(_garble(record, trouble)),
    ]
    ids_by_order: dict[int, list[str]] = {}
    try:
        await _send_orders(deployment, clients, ids_by_order)
    finally:
        for task in tasks:
            task.cancel()
    await asyncio.sleep(END_SECONDS)
    return _check(record, deployment, clients, ids_by_order)


async def _shed(record: Record, trouble: Trouble) -> None:
    """Let the backends reject orders for a few seconds, again and again."""
    while has_trouble():
        await asyncio.sleep(PAUSE_SECONDS)
        trouble.is_shedding = True
        record.add("backends begin to reject orders")
        await asyncio.sleep(SHED_SECONDS)
        trouble.is_shedding = False
        record.add("backends reject no more orders")


async def _garble(record: Record, trouble: Trouble) -> None:
    """Let the faulty backends garble for a few seconds, again and again."""
    while has_trouble():
        await asyncio.sleep(PAUSE_SECONDS)
        trouble.is_garbling = True
        record.add("backends begin to send extra answers")
        await asyncio.sleep(GARBLE_SECONDS)
        trouble.is_garbling = False
        record.add("backends send no more extra answers")


async def _send_orders(
    deployment: Deployment, clients: Clients, ids_by_order: dict[int, list[str]]
) -> None:
    """Send orders for `PLAY_SECONDS`, and wait until all are answered."""
    end = time.monotonic() + PLAY_SECONDS
    async with asyncio.TaskGroup() as group:
        number = 0
        while time.monotonic() < end:
            number += 1
            ids = ids_by_order[number] = []
            group.create_task(_send_order(deployment.vms, clients, number, ids))
            await asyncio.sleep(random.expovariate(ORDERS_PER_SECOND))


async def _send_order(
    vms: list[Vm], clients: Clients, number: int, ids: list[str]
) -> None:
    """Send one order, and once more after a promise that it has not run."""
    key = random.randrange(KEYS)
    for _ in range(2):
        vm = random.choice(vms)
        ids.append(await clients.send(vm, "POST", f"/orders/{number}", key, body=b"o"))
        if clients.statuses[ids[-1]] not in PROMISES:
            return
        await asyncio.sleep(0.1)


def _check(
    record: Record,
    deployment: Deployment,
    clients: Clients,
    ids_by_order: dict[int, list[str]],
) -> bool:
    """Return whether no id ran twice, or ran although its client was told not."""
    runs = Counter(run for backend in deployment.backends for run in backend.runs)
    refused, twice = 0, 0
    for request_id, status in clients.statuses.items():
        if status in PROMISES and runs[request_id]:
            refused += 1
            record.add(f"BROKEN REFUSED {request_id} was answered {status} and has run")
        if runs[request_id] > 1:
            twice += 1
            record.add(f"BROKEN TWICE {request_id} has run {runs[request_id]} times")
    doubled = [n for n, ids in ids_by_order.items() if sum(runs[i] for i in ids) > 1]
    record.add(
        f"orders: {len(ids_by_order)}, answers by status: "
        f"{dict(Counter(clients.statuses.values()))}"
    )
    record.add(
        f"refused and run: {refused}, run twice under one id: {twice}, "
        f"orders run twice, clients' repeats included: {len(doubled)}"
    )
    return not refused and not twice


if __name__ == "__main__":
    sys.exit(play(play_rejections, Path(__file__).parent))
