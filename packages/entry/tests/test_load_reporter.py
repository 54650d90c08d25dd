"""Tests of what a VM tells the one with the duty."""

from __future__ import annotations

import asyncio
import json
from random import Random

import pytest
from berylstage_entry import load_reporter
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.load_reporter import MOST, PERIOD, LoadReporter, encode
from berylstage_entry.protocols import Record
from fakes import configuration


class CoordinatorElection:
    def __init__(self, address):
        self._address = address

    def holds(self):
        return not self._address

    def holder_address(self):
        return self._address


class GrantController:
    def __init__(self):
        self.counts = []
        self.speeds = []

    def counted(self, service, counts):
        self.counts.append((service, counts))

    def told_speeds(self, service, mean, slowness):
        self.speeds.append((service, mean, slowness))


class Router:
    vms = 1

    def __init__(self):
        self.counts = {}
        self.has_counted = asyncio.Event()
        self.has_counted.set()
        # Its own loads as well.
        self.loads = self

    def take_key_counts(self):
        counts, self.counts = self.counts, {}
        return counts

    def seen(self, service):
        return None


class Exchange:
    def __init__(self):
        self.sent = []

    def send_to(self, host, data):
        self.sent.append((host, data))


def vm(address=""):
    directory = ClusterView()
    directory.apply(Record(configuration=configuration()), 0.0, False)
    exchange, granting, router = Exchange(), GrantController(), Router()
    each = LoadReporter(
        router, granting, CoordinatorElection(address), directory, exchange, Random(1)
    )
    return each, router, granting, exchange


def run(each, seconds):
    async def play():
        each.start()
        await asyncio.sleep(seconds)
        each.stop()

    asyncio.run(play())


class TestCounts:
    def test_busy_keys_are_known_within_two_tenths_of_a_second(self):
        # Neighbouring keys become busy. While the VM with the duty does not know, the
        # queue before their owner grows by seventy requests a second.
        teller, router, _, exchange = vm("10.0.0.9:1")
        router.counts = {"s": {7: 3, 65535: 300}}
        run(teller, 2 * PERIOD)
        ((host, data),) = exchange.sent
        assert host == "10.0.0.9"
        taker, _, granting, _ = vm()
        taker.take_counts(data)
        assert granting.counts == [("s", {7: 3, 65535: 255})]

    def test_holder_counts_its_own(self):
        holder, router, granting, exchange = vm()
        router.counts = {"s": {7: 3}}
        run(holder, 2 * PERIOD)
        assert granting.counts == [("s", {7: 3})]
        assert not exchange.sent

    def test_many_keys_go_in_several_datagrams(self):
        parts = encode("s", dict.fromkeys(range(MOST + 1), 1))
        assert [len(part) <= 1400 for part in parts] == [True, True]
        taker, _, granting, _ = vm()
        for part in parts:
            taker.take_counts(part)
        assert sum(len(counts) for _, counts in granting.counts) == MOST + 1

    @pytest.mark.parametrize("data", [b"", b"\x11", encode("s", {7: 3})[0][:-1]])
    def test_damaged_datagram_is_passed_over(self, data):
        taker, _, granting, _ = vm()
        taker.take_counts(data)
        assert granting.counts == []

    def test_unknown_service_is_passed_over(self):
        taker, _, granting, _ = vm()
        taker.take_counts(encode("other", {7: 3})[0])
        assert granting.counts == []


class TestSpeeds:
    def test_speeds_are_taken(self):
        taker, _, granting, _ = vm()
        assert taker.take_speeds(json.dumps([["s", 0.1, {"a": 2}]]).encode())
        assert granting.speeds == [("s", 0.1, {"a": 2.0})]

    @pytest.mark.parametrize("body", [b"", b"[1]", b'[["s"]]', b'[["s", 1, 2]]'])
    def test_unreadable_speeds_are_passed_over(self, body):
        taker, _, granting, _ = vm()
        assert not taker.take_speeds(body)
        assert granting.speeds == []

    def test_more_vms_tell_less_often_each(self):
        # With 76 VMs the VM with the duty would be told of all targets 76 times a
        # second, and by the last ten words only.
        assert load_reporter.SPEEDS_RATE / 76 < 1 / 5
