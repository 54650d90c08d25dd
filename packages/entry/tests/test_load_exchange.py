"""Tests of what VMs tell each other of the load of targets."""

from __future__ import annotations

import asyncio
from random import Random

from berylstage_entry.clock import now
from berylstage_entry.directory import Directory
from berylstage_entry.load_exchange import PERIOD, HeardLoad, LoadExchange, encode
from berylstage_entry.membership import Member
from berylstage_entry.router import Router
from berylstage_entry.senders import Senders
from berylstage_entry.wire import Record
from fakes import BOUNDS, configuration, target


def vm():
    directory = Directory()
    directory.apply(Record(configuration=configuration(owns_keys=False)), 0.0, False)
    for name in ("a", "b"):
        directory.apply(Record(target=target(name)), 0.0, False)
    router = Router(directory, None, Senders(None), BOUNDS, Random(1))
    loads = router._service_loads("s")
    for name in ("a", "b"):
        loads.load(name, 2)
    return router, LoadExchange(router, directory, None, "127.0.0.1", 1)


class Members:
    """A VM, one beside it, and one elsewhere."""

    def members(self):
        return [
            Member("vm-1", "10.0.0.1:1", "dc-1"),
            Member("vm-2", "10.0.0.2:1", "dc-1"),
            Member("vm-3", "10.0.1.1:1", "dc-2"),
        ]


class Transport:
    """Notes what is sent to which host."""

    def __init__(self, sent):
        self._sent = sent

    def sendto(self, data, address):
        self._sent.append((data, address[0]))

    def close(self):
        pass


class TestLoadExchange:
    def test_target_that_another_vm_found_busy_is_avoided(self):
        # A target is slowed for a moment, and one VM has just heard of it. Another VM
        # that goes by its own last answer, a second old, would send work into the
        # queue.
        router, exchange = vm()
        report = HeardLoad(6, 3.0)
        exchange.datagram_received(encode({"a": report}), ("127.0.0.1", 2))
        loads = router._service_loads("s")
        chosen = {loads.choose(["a", "b"], "k", now()) for _ in range(20)}
        assert chosen == {"b"}

    def test_vms_elsewhere_are_told_less_often(self):
        # Bytes between data centres are paid for. What was told nearby in four
        # datagrams goes elsewhere in one, with the newest report of each target.
        exchange = LoadExchange(None, None, Members(), "10.0.0.1", 7, "dc-1")
        sent = []

        async def run():
            loop = asyncio.get_running_loop()

            async def endpoint(*args, **kwargs):
                return Transport(sent), None

            loop.create_datagram_endpoint = endpoint
            exchange.start()
            for n in range(8):
                exchange.heard("a", n, 1.0)
                await asyncio.sleep(PERIOD)
            await asyncio.sleep(2 * PERIOD)
            exchange.stop()

        asyncio.run(run())
        near = [data for data, host in sent if host == "10.0.0.2"]
        far = [data for data, host in sent if host == "10.0.1.1"]
        assert "10.0.0.1" not in {host for _, host in sent}
        assert len(near) >= 6
        assert 1 <= len(far) <= 3
        assert far[-1] in near

    def test_damaged_datagrams_are_passed_over(self):
        _, exchange = vm()
        for data in (b"", b"\x07abc", encode({"a": HeardLoad(1, 1.0)})[:-1]):
            exchange.datagram_received(data, ("127.0.0.1", 2))

    def test_unknown_target_is_passed_over(self):
        router, exchange = vm()
        data = encode({"gone": HeardLoad(10, 1.0)})
        exchange.datagram_received(data, ("127.0.0.1", 2))
        assert "gone" not in router._service_loads("s").slowness()
