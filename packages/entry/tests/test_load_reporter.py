"""Tests of the reports to the coordinator."""

from __future__ import annotations

import asyncio
import json
from random import Random

import pytest
from berylstage_entry import load_reporter
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.load_reporter import (
    MAX_KEYS_PER_DATAGRAM,
    PERIOD,
    LoadReporter,
    encode_key_counts,
)
from berylstage_entry.protocols import Record
from fakes import configuration


class FakeOffice:
    def __init__(self, address):
        self._address = address

    def holds(self):
        return not self._address

    def holder_address(self):
        return self._address


class FakeGranting:
    def __init__(self):
        self.counts = []
        self.speeds = []

    def counted(self, service, counts):
        self.counts.append((service, counts))

    def told_speeds(self, service, mean, slowness):
        self.speeds.append((service, mean, slowness))


class FakeRouter:
    vms = 1

    def __init__(self):
        self.counts = {}
        self.has_counted = asyncio.Event()
        self.has_counted.set()
        # Stands in for the target loads as well.
        self.loads = self

    def take_key_counts(self):
        counts, self.counts = self.counts, {}
        return counts

    def seen(self, service):
        return None


class FakeDatagrams:
    def __init__(self):
        self.sent = []

    def send_to(self, host, data):
        self.sent.append((host, data))


def make_reporter(address=""):
    directory = ClusterView()
    directory.apply(Record(configuration=configuration()), 0.0, False)
    datagrams, granting, router = FakeDatagrams(), FakeGranting(), FakeRouter()
    reporter = LoadReporter(
        router, granting, FakeOffice(address), directory, datagrams, Random(1)
    )
    return reporter, router, granting, datagrams


def run_for(reporter, seconds):
    async def scenario():
        reporter.start()
        await asyncio.sleep(seconds)
        reporter.stop()

    asyncio.run(scenario())


class TestCounts:
    def test_counts_are_reported_within_two_tenths_of_a_second(self):
        # Neighbouring keys become hot. Until the coordinator knows, the queue at their
        # owner grows by seventy requests a second.
        sender, router, _, datagrams = make_reporter("10.0.0.9:1")
        router.counts = {"s": {7: 3, 65535: 300}}
        run_for(sender, 2 * PERIOD)
        ((host, data),) = datagrams.sent
        assert host == "10.0.0.9"
        receiver, _, granting, _ = make_reporter()
        receiver.take_counts(data)
        assert granting.counts == [("s", {7: 3, 65535: 255})]

    def test_coordinator_adds_its_own_counts(self):
        holder, router, granting, datagrams = make_reporter()
        router.counts = {"s": {7: 3}}
        run_for(holder, 2 * PERIOD)
        assert granting.counts == [("s", {7: 3})]
        assert not datagrams.sent

    def test_many_keys_are_split_into_several_datagrams(self):
        parts = encode_key_counts(
            "s", dict.fromkeys(range(MAX_KEYS_PER_DATAGRAM + 1), 1)
        )
        assert [len(part) <= 1400 for part in parts] == [True, True]
        receiver, _, granting, _ = make_reporter()
        for part in parts:
            receiver.take_counts(part)
        assert (
            sum(len(counts) for _, counts in granting.counts)
            == MAX_KEYS_PER_DATAGRAM + 1
        )

    @pytest.mark.parametrize(
        "data", [b"", b"\x11", encode_key_counts("s", {7: 3})[0][:-1]]
    )
    def test_damaged_datagram_is_ignored(self, data):
        receiver, _, granting, _ = make_reporter()
        receiver.take_counts(data)
        assert granting.counts == []

    def test_unknown_service_is_ignored(self):
        receiver, _, granting, _ = make_reporter()
        receiver.take_counts(encode_key_counts("other", {7: 3})[0])
        assert granting.counts == []


class TestSpeeds:
    def test_service_times_are_applied(self):
        receiver, _, granting, _ = make_reporter()
        assert receiver.take_speeds(json.dumps([["s", 0.1, {"a": 2}]]).encode())
        assert granting.speeds == [("s", 0.1, {"a": 2.0})]

    @pytest.mark.parametrize("body", [b"", b"[1]", b'[["s"]]', b'[["s", 1, 2]]'])
    def test_invalid_service_times_are_ignored(self, body):
        receiver, _, granting, _ = make_reporter()
        assert not receiver.take_speeds(body)
        assert granting.speeds == []

    def test_with_more_vms_each_reports_less_often(self):
        # Otherwise 76 VMs would send 76 reports a second about all targets to the
        # coordinator, and only the last ten would count.
        assert load_reporter.SERVICE_TIME_REPORTS_PER_SECOND / 76 < 1 / 5
