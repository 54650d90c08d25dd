"""Tests of what VMs tell each other of the load of targets."""

from __future__ import annotations

import asyncio
from random import Random

from berylstage_entry.clock import now
from berylstage_entry.directory import Directory
from berylstage_entry.load_exchange import (
    FOR_ALL,
    FOR_DATA_CENTRE,
    FORMAT,
    PERIOD,
    HeardLoad,
    LoadExchange,
    encode,
)
from berylstage_entry.membership import Member
from berylstage_entry.router import Router
from berylstage_entry.senders import Senders
from berylstage_entry.wire import Record
from berylstage_policy.relays import ranked
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
    """VMs beside this one, and elsewhere."""

    revision = 1

    def __init__(self, near=2, far=1):
        self._members = [
            Member(f"vm-{centre}-{n}", f"10.0.{centre}.{n}:1", f"dc-{centre}")
            for centre, count in ((0, near), (1, far))
            for n in range(1, count + 1)
        ]

    def members(self):
        return self._members


class Transport:
    """Notes what is sent to which host."""

    def __init__(self, sent):
        self._sent = sent

    def sendto(self, data, address):
        self._sent.append((data, address[0]))

    def close(self):
        pass


def play(host, members, step):
    """Run an exchange for a while and return what it sends to whom."""
    sent = []
    directory = Directory()
    directory.apply(Record(configuration=configuration(owns_keys=False)), 0.0, False)
    directory.apply(Record(target=target("a")), 0.0, False)
    router = Router(directory, None, Senders(None), BOUNDS, Random(1))

    async def run():
        loop = asyncio.get_running_loop()

        async def endpoint(*args, **kwargs):
            return Transport(sent), None

        loop.create_datagram_endpoint = endpoint
        exchange = LoadExchange(router, directory, members, host, 7, "dc-0")
        exchange.start()
        for n in range(8):
            step(exchange, n)
            await asyncio.sleep(PERIOD + 0.01)
        await asyncio.sleep(2 * PERIOD)
        exchange.stop()

    asyncio.run(run())
    return sent


class TestLoadExchange:
    def test_target_that_another_vm_found_busy_is_avoided(self):
        # A target is slowed for a moment, and one VM has just heard of it. Another VM
        # that goes by its own last answer, a second old, would send work into the
        # queue.
        router, exchange = vm()
        report = HeardLoad(6, 3.0, now())
        exchange.datagram_received(encode({"a": report}), ("127.0.0.1", 2))
        loads = router._service_loads("s")
        chosen = {loads.choose(["a", "b"], "k", now()) for _ in range(20)}
        assert chosen == {"b"}

    def test_vms_elsewhere_are_told_less_often(self):
        # Bytes between data centres are paid for. What was told nearby in four
        # datagrams goes elsewhere in one, with the newest report of each target.
        sent = play("10.0.0.1", Members(), lambda each, n: each.heard("a", n, 1.0))
        near = [data for data, host in sent if host == "10.0.0.2"]
        far = [data for data, host in sent if host == "10.0.1.1"]
        assert "10.0.0.1" not in {host for _, host in sent}
        assert len(near) >= 6
        assert 1 <= len(far) <= 3
        assert {data[1:7] for data in far} <= {data[1:7] for data in near}

    def test_many_vms_elsewhere_are_told_by_the_relay_only(self):
        # Each of 40 VMs that told each of the others elsewhere would send them more
        # bytes than the requests that cross do.
        first, second = ranked(["10.0.0.1", "10.0.0.2"])
        members = Members(2, 38)
        sent = play(first, members, lambda each, n: each.heard("a", n, 1.0))
        elsewhere = {host for _, host in sent} - {first, second}
        assert 1 <= len(elsewhere) <= 2
        sent = play(second, members, lambda each, n: each.heard("a", n, 1.0))
        assert {host for _, host in sent} == {first}

    def test_vm_of_a_large_data_centre_tells_its_relay_only(self):
        # Eighteen VMs of a data centre each hear of a target many times a second. When
        # each tells each, that costs more than the requests that it is for.
        hosts = ranked([f"10.0.0.{n}" for n in range(1, 19)])
        members = Members(18, 20)
        told = play(hosts[5], members, lambda each, n: each.heard("a", n, 1.0))
        assert {host for _, host in told} == {hosts[0]}
        assert {data[0] for data, _ in told} == {FOR_ALL}

    def test_relay_passes_on_what_it_is_told(self):
        # A VM tells its relay of a busy target. Nobody else would hear of it.
        hosts = ranked([f"10.0.0.{n}" for n in range(1, 19)])

        def step(each, n):
            data = encode({"a": HeardLoad(6, 3.0, now())}, FOR_ALL)
            each.datagram_received(data, (hosts[5], 7))

        sent = play(hosts[0], Members(18, 20), step)
        near = [(data, host) for data, host in sent if host in hosts]
        assert {host for _, host in near} == {*hosts[1:]}
        assert {data[0] for data, _ in near} == {FORMAT}
        assert {data[0] for data, host in sent if host not in hosts} == {
            FOR_DATA_CENTRE
        }

    def test_what_comes_from_elsewhere_is_not_sent_there_again(self):
        # Two relays that told each other what they were told would never fall silent.
        hosts = ranked(["10.0.0.1", "10.0.0.2"])

        def step(each, n):
            data = encode({"a": HeardLoad(6, 3.0, now())}, FOR_DATA_CENTRE)
            each.datagram_received(data, ("10.0.1.1", 7))

        sent = play(hosts[0], Members(), step)
        assert {host for _, host in sent} == {hosts[1]}

    def test_word_that_came_a_long_way_does_not_replace_a_newer_one(self):
        # A VM has just heard that a target is free. What another data centre knew of it
        # a quarter of a second ago comes over two relays, and would keep requests away.
        router, exchange = vm()
        known = router._service_loads("s").load("a", 2)
        known.told(0, 2, 1.0, now() - 0.1)
        data = encode({"a": HeardLoad(6, 3.0, now() - 0.25)}, FOR_DATA_CENTRE)
        exchange.datagram_received(data, ("127.0.0.1", 2))
        assert known.pace == 1.0
        data = encode({"a": HeardLoad(6, 3.0, now() - 0.05)}, FOR_DATA_CENTRE)
        exchange.datagram_received(data, ("127.0.0.1", 2))
        assert known.pace == 3.0
        assert 0.04 < now() - known.reported < 0.08

    def test_damaged_datagrams_are_passed_over(self):
        _, exchange = vm()
        for data in (b"", b"\x07abc", encode({"a": HeardLoad(1, 1.0, now())})[:-1]):
            exchange.datagram_received(data, ("127.0.0.1", 2))

    def test_unknown_target_is_passed_over(self):
        router, exchange = vm()
        data = encode({"gone": HeardLoad(10, 1.0, now())})
        exchange.datagram_received(data, ("127.0.0.1", 2))
        assert "gone" not in router._service_loads("s").slowness()
