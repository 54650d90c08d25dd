"""Tests of records in the store that another writer has left and nobody can use."""

from __future__ import annotations

import asyncio
import json

import pytest
from berylstage_adapter.record_reader import PlatformRecordReader
from berylstage_adapter.target_protocol import parse_load_report
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.errors import InvalidRecord
from berylstage_entry.store import Changes, Item, Store
from berylstage_entry.store_watcher import StoreWatcher
from test_adapter import CONFIGURATION, SERVER_RECORD

DIGITS = "9" * 400
DEEP = "[" * 100_000


def encode(**changes):
    return json.dumps(SERVER_RECORD | changes).encode()


def with_info(**changes):
    return encode(info=SERVER_RECORD["info"] | changes)


def with_status(**changes):
    return encode(status=SERVER_RECORD["status"] | changes)


def replace(old, new):
    """Return the usable record with a part of its text replaced."""
    text = json.dumps(SERVER_RECORD)
    assert old in text
    return text.replace(old, new).encode()


UNUSABLE_VALUES = {
    "empty": b"",
    "no JSON": b"\x00\xff{",
    "cut": encode()[:-9],
    "list": b"[]",
    "number": b"7",
    "null": b"null",
    "deep list": DEEP.encode(),
    "deep object": b'{"a":' * 100_000,
    "deep field of a valid record": replace('"v1"', DEEP),
    "text with a lone surrogate": replace('"keyed"', '"\\ud800"'),
    "text with NUL": replace('"keyed"', '"key\\u0000ed"'),
    "text with a line break": replace('"zone": "a"', '"zone": "a\\r\\nx: y"'),
    "long text": with_info(service="s" * 65536),
    "empty service": with_info(service=""),
    "service of another type": with_info(service=["keyed"]),
    "no zone": encode(info={"service": "keyed", "slots": 2}),
    "info of another type": encode(info=7),
    "status of another type": encode(status=[]),
    "no status": json.dumps({"address": "10.0.0.1:1"}).encode(),
    "unknown state": with_status(state="asleep"),
    "state of another type": with_status(state={"a": [1]}),
    "slots as text": with_info(slots="2"),
    "slots 0": with_info(slots=0),
    "slots -1": with_info(slots=-1),
    "slots true": with_info(slots=True),
    "slots 1.5": with_info(slots=1.5),
    "slots 30,000,000": with_info(slots=30_000_000),
    "slots of 400 digits": replace('"slots": 2', f'"slots": {DIGITS}'),
    "slots infinite": replace('"slots": 2', '"slots": Infinity'),
    "born as text": encode(born="today"),
    "born negative": encode(born=-1),
    "born of 400 digits": replace("1700000000000", DIGITS),
    "born 1e300": encode(born=1e300),
    "warm-up of 400 digits": replace("1500", DIGITS),
    "warm-up not a number": replace("1500", "NaN"),
    "warm-up infinite": replace("1500", "-Infinity"),
    "warm-up 1e300": with_status(warmup_left_ms=1e300),
    "warm-up as text": with_status(warmup_left_ms="1500"),
    "address of another type": encode(address=7),
    "address without a port": encode(address="10.128.0.9"),
    "address with port 0": encode(address="10.128.0.9:0"),
    "address with port 99999": encode(address="10.128.0.9:99999"),
    "address with a port of digits that are not ASCII": encode(address="10.0.0.9:٨٠"),
    "address with a host name": encode(address="db.example:8080"),
    "address not ASCII": encode(address="10.128.0.é:8080"),
    "address with a surrogate": replace("10.128.0.9:8080", "10.128.0.\\ud8009:80"),
    "address with NUL": replace("10.128.0.9:8080", "10.128.0.9\\u0000:8080"),
    "address with a path": encode(address="10.128.0.9/x:8080"),
    "long address": encode(address="1" * 65536 + ":8080"),
}
UNUSABLE_NAMES = ["", "i 1", "i-é", "i-\ud800", "i-1\r\nx: y", "i-\x00", "i" * 201]


class ListStore(Store):
    """A store in memory that is only read."""

    def __init__(self):
        self.log: list[Item] = []

    def put(self, key, value):
        self.log.append(Item(key, value, len(self.log) + 1))

    async def read(self, prefix):
        newest = {item.key: item for item in self.log if item.key.startswith(prefix)}
        return Changes(list(newest.values()), len(self.log))

    async def watch(self, prefix, after, wait):
        while len(self.log) <= after:
            await asyncio.sleep(0.01)
        return Changes(self.log[after:], len(self.log))

    async def write(self, conditions, writes, removals=()):
        raise NotImplementedError

    async def create_lease(self, seconds):
        raise NotImplementedError

    async def renew_lease(self, lease):
        raise NotImplementedError

    async def revoke_lease(self, lease):
        raise NotImplementedError


async def read_until(store, condition):
    """Let a new store watcher read until a condition of its view holds."""
    view = ClusterView()
    store_watcher = StoreWatcher(store, PlatformRecordReader(), view)
    store_watcher.start()
    try:
        async with asyncio.timeout(5.0):
            while not condition(view):
                await asyncio.sleep(0.01)
            return view
    finally:
        store_watcher.stop()


def put_configuration(store, version):
    store.put("op/config", json.dumps(CONFIGURATION | {"version": version}).encode())


class TestRecordReader:
    @pytest.mark.parametrize("value", UNUSABLE_VALUES.values(), ids=UNUSABLE_VALUES)
    def test_unusable_record_is_invalid(self, value):
        # Guards against an error of another type, which ends the reading of all.
        with pytest.raises(InvalidRecord) as caught:
            PlatformRecordReader().read(Item("servers/i-9", value, 1))
        assert len(str(caught.value)) < 1000

    @pytest.mark.parametrize("name", UNUSABLE_NAMES)
    def test_record_of_a_name_that_cannot_be_sent_is_invalid(self, name):
        # Guards against requests that fail because their header cannot be encoded.
        with pytest.raises(InvalidRecord):
            PlatformRecordReader().read(Item(f"servers/{name}", encode(), 1))

    @pytest.mark.parametrize("key", ["op/config", "op/evacuate/a"])
    @pytest.mark.parametrize("value", UNUSABLE_VALUES.values(), ids=UNUSABLE_VALUES)
    def test_unusable_record_of_the_operator_raises_nothing_else(self, key, value):
        # Guards against an error of another type, which ends the reading of all.
        try:
            record = PlatformRecordReader().read(Item(key, value, 1))
        except InvalidRecord:
            return
        assert record.closed_data_centre == "a"


class TestStoreWatcher:
    def test_unusable_records_cost_no_other_record(self):
        # Guards against a VM that serves an old configuration for ever, or does not
        # become ready after a restart, because one record cannot be used.
        async def play():
            store = ListStore()
            put_configuration(store, "r1")
            await read_until(store, lambda view: view.configuration is not None)
            for number, value in enumerate(UNUSABLE_VALUES.values()):
                store.put(f"servers/i-{number}", value)
            for name in UNUSABLE_NAMES:
                store.put(f"servers/{name}", encode())
            put_configuration(store, "r2")
            store.put("servers/i-good", encode())
            return await read_until(store, lambda view: "i-good" in view.known)

        view = asyncio.run(play())
        assert set(view.known) == {"i-good"}
        assert view.configuration.version == 2

    def test_unusable_changes_cost_no_later_change(self):
        # Guards against the same while the VM runs: the records arrive with a watch.
        async def play():
            store = ListStore()
            put_configuration(store, "r1")

            def is_changed(view):
                if len(store.log) == 1 and view.configuration is not None:
                    for number, value in enumerate(UNUSABLE_VALUES.values()):
                        store.put(f"servers/i-{number}", value)
                    put_configuration(store, "r2")
                return view.configuration is not None and view.configuration.version > 1

            return await read_until(store, is_changed)

        assert asyncio.run(play()).known == {}


class TestLoadReport:
    @pytest.mark.parametrize("number", ["nan", "inf", "-inf", DIGITS, "1e300", "-1"])
    @pytest.mark.parametrize("field", range(4))
    def test_absurd_number_does_not_cost_the_answer(self, field, number):
        # Guards against an answer that is lost because its load header is absurd.
        fields = ["1", "0", "2", "100"]
        fields[field] = number
        assert parse_load_report(",".join(fields)) is None
