"""Tests of the reports to the coordinator."""

from __future__ import annotations

import asyncio
import json
from random import Random

import pytest
from berylstage_entry import load_reporter
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.load_reporter import (
    COUNT_INTERVAL_SECONDS,
    MAX_KEYS_PER_DATAGRAM,
    LoadReporter,
    encode_key_counts,
)
from berylstage_entry.protocols import Record
from fakes import configuration


class FakeElection:
    def __init__(self, address):
        self._address = address

    def is_coordinator(self):
        return not self._address

    def coordinator_address(self):
        return self._address


class FakeGrantController:
    def __init__(self):
        self.counts = []
        self.service_times = []

    def add_key_counts(self, service, counts):
        self.counts.append((service, counts))

    def add_service_times(self, service, mean, service_time_ratio):
        self.service_times.append((service, mean, service_time_ratio))


class FakeRouter:
    vms = 1

    def __init__(self):
        self.counts = {}
        self.has_key_counts = asyncio.Event()
        self.has_key_counts.set()
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
    cluster_view = ClusterView()
    cluster_view.apply(Record(configuration=configuration()), 0.0, False)
    datagrams, grant_controller, router = (
        FakeDatagrams(),
        FakeGrantController(),
        FakeRouter(),
    )
    reporter = LoadReporter(
        router,
        grant_controller,
        FakeElection(address),
        cluster_view,
        datagrams,
        Random(1),
    )
    return reporter, router, grant_controller, datagrams


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
        run_for(sender, 2 * COUNT_INTERVAL_SECONDS)
        ((host, data),) = datagrams.sent
        assert host == "10.0.0.9"
        receiver, _, grant_controller, _ = make_reporter()
        receiver.receive_key_counts(data)
        assert grant_controller.counts == [("s", {7: 3, 65535: 255})]

    def test_coordinator_adds_its_own_counts(self):
        holder, router, grant_controller, datagrams = make_reporter()
        router.counts = {"s": {7: 3}}
        run_for(holder, 2 * COUNT_INTERVAL_SECONDS)
        assert grant_controller.counts == [("s", {7: 3})]
        assert not datagrams.sent

    def test_many_keys_are_split_into_several_datagrams(self):
        parts = encode_key_counts(
            "s", dict.fromkeys(range(MAX_KEYS_PER_DATAGRAM + 1), 1)
        )
        assert [len(part) <= 1400 for part in parts] == [True, True]
        receiver, _, grant_controller, _ = make_reporter()
        for part in parts:
            receiver.receive_key_counts(part)
        assert (
            sum(len(counts) for _, counts in grant_controller.counts)
            == MAX_KEYS_PER_DATAGRAM + 1
        )

    @pytest.mark.parametrize(
        "data", [b"", b"\x11", encode_key_counts("s", {7: 3})[0][:-1]]
    )
    def test_damaged_datagram_is_ignored(self, data):
        receiver, _, grant_controller, _ = make_reporter()
        receiver.receive_key_counts(data)
        assert grant_controller.counts == []

    def test_unknown_service_is_ignored(self):
        receiver, _, grant_controller, _ = make_reporter()
        receiver.receive_key_counts(encode_key_counts("other", {7: 3})[0])
        assert grant_controller.counts == []


class TestSpeeds:
    def test_service_times_are_applied(self):
        receiver, _, grant_controller, _ = make_reporter()
        assert receiver.receive_service_times(
            json.dumps([["s", 0.1, {"a": 2}]]).encode()
        )
        assert grant_controller.service_times == [("s", 0.1, {"a": 2.0})]

    @pytest.mark.parametrize("body", [b"", b"[1]", b'[["s"]]', b'[["s", 1, 2]]'])
    def test_invalid_service_times_are_ignored(self, body):
        receiver, _, grant_controller, _ = make_reporter()
        assert not receiver.receive_service_times(body)
        assert grant_controller.service_times == []

    def test_with_more_vms_each_reports_less_often(self):
        # Otherwise 76 VMs would send 76 reports a second about all targets to the
        # coordinator, and only the last ten would count.
        assert load_reporter.SERVICE_TIME_REPORTS_PER_SECOND / 76 < 1 / 5
