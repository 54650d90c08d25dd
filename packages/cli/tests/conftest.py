"""Fakes of the store, the platform's list and the VMs."""

from __future__ import annotations

from collections import defaultdict
from contextlib import suppress
from enum import Enum, auto

import pytest
from berylstage_cli.application import OperatorApplication
from berylstage_cli.connections import Connections
from berylstage_cli.vms import KeyOwner, VmClient, VmFault, VmStatus
from berylstage_platform.errors import RateLimited, StoreUnavailable, VersionConflict
from berylstage_platform.store import Entry, Store, VmList, VmRecord
from berylstage_sheet.configuration import CONFIGURATION_KEY, Configuration
from berylstage_sheet.reader import read_sheet
from cleo.testers.command_tester import CommandTester

SHEET = """\
services
service,tenant,keys,shards
orders,acme,owned,16

kinds
service,kind,class,repeatable,deadline ms
orders,place,interactive,no,5000

data centres
data centre,state
north,open
south,open

VMs
VM,data centre,state
north-1,north,active
south-1,south,active

targets
target,service,address,data centre,slots,connections,checks fences,state
orders-1,orders,10.0.0.1:80,north,2,120,yes,active
orders-2,orders,10.0.0.2:80,south,2,120,yes,active
"""


class Fault(Enum):
    """What the store does to one write instead of answering it."""

    LOST_AFTER_EFFECT = auto()
    LOST_BEFORE_EFFECT = auto()
    DELAYED = auto()
    RATE_LIMITED = auto()


class FakeStore(Store):
    """A store in memory whose faults are scripted for each key."""

    Fault = Fault

    def __init__(self):
        self.entries: dict[str, Entry] = {}
        self.write_faults: dict[str, list[Fault | None]] = defaultdict(list)
        self.read_faults: dict[str, int] = defaultdict(int)
        self.writes: list[str] = []
        # Revision and write id of each configuration that took effect.
        self.effects: list[tuple[int, str]] = []
        self.turn = None
        # Called once, just after the next lost write of the configuration.
        self.meanwhile = None
        self._delayed: list[tuple[str, bytes, int]] = []

    async def read(self, key):
        if self.turn:
            await self.turn()
        if self.read_faults[key]:
            self.read_faults[key] -= 1
            raise StoreUnavailable(f"reading {key}: no answer")
        return self.entries.get(key, Entry(key, b"", 0))

    async def write(self, key, value, expected_version):
        if self.turn:
            await self.turn()
        self.writes.append(key)
        fault = self.write_faults[key].pop(0) if self.write_faults[key] else None
        if fault is Fault.RATE_LIMITED:
            raise RateLimited("too many calls")
        if fault is Fault.DELAYED:
            self._delayed.append((key, value, expected_version))
        elif fault is not Fault.LOST_BEFORE_EFFECT:
            self.deliver(key)
            self._put(key, value, expected_version)
        if fault is None:
            return self.entries[key].version
        if key == CONFIGURATION_KEY and self.meanwhile:
            meanwhile, self.meanwhile = self.meanwhile, None
            await meanwhile()
        raise StoreUnavailable(f"writing {key}: no answer")

    async def watch(self, key, after_version, timeout):
        raise NotImplementedError

    def deliver(self, key):
        """Let delayed writes of a key take effect."""
        for write in [write for write in self._delayed if write[0] == key]:
            self._delayed.remove(write)
            with suppress(VersionConflict):
                self._put(*write)

    def _put(self, key, value, expected_version):
        version = self.entries[key].version if key in self.entries else 0
        if version != expected_version:
            raise VersionConflict(f"{key} has version {version}")
        self.entries[key] = Entry(key, value, version + 1)
        if key == CONFIGURATION_KEY:
            cfg = self.configuration()
            self.effects.append((cfg.revision, cfg.write_id))

    def configuration(self) -> Configuration:
        """Return the configuration that the store holds."""
        return Configuration.from_json(self.entries[CONFIGURATION_KEY].value)


class FakeVms(VmList, VmClient):
    """VMs that have the store's revision in force, or do what a test sets."""

    def __init__(self, store: FakeStore):
        self.store = store
        self.records = [
            VmRecord(f"{dc}-1", dc, f"10.1.0.{n}:80", f"10.1.0.{n}:81", False)
            for n, dc in enumerate(("north", "south"))
        ]
        self.listing_fault: Exception | None = None
        # Name of a VM to its next answers; the last one stays.
        self.answers: dict[str, list[VmStatus | VmFault]] = {}
        self.owners: dict[str, KeyOwner | VmFault] = {}

    async def vms(self):
        if self.listing_fault:
            raise self.listing_fault
        return self.records

    async def status(self, record):
        answers = self.answers.get(record.name)
        if answers is None:
            revision = self.store.configuration().revision
            return VmStatus(record.name, record.data_centre, revision, ready=True)
        answer = answers.pop(0) if len(answers) > 1 else answers[0]
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def owner(self, record, service, key):
        answer = self.owners.get(record.name, VmFault("no answer (refused)"))
        if isinstance(answer, Exception):
            raise answer
        return answer


class FakeTime:
    """Time that passes only while somebody sleeps."""

    def __init__(self):
        self.now = 0.0

    async def sleep(self, seconds):
        self.now += seconds

    def clock(self):
        return self.now


@pytest.fixture
def text() -> str:
    """Return a sheet as text."""
    return SHEET


@pytest.fixture
def configuration():
    """Return a function that reads the sheet with a part replaced."""

    def read(*pairs: tuple[str, str]) -> Configuration:
        changed = SHEET
        for old, new in pairs:
            assert old in changed
            changed = changed.replace(old, new)
        return read_sheet(changed.encode()).cfg

    return read


@pytest.fixture
def store_class() -> type[FakeStore]:
    """Return the class of the fake store."""
    return FakeStore


@pytest.fixture
def store() -> FakeStore:
    """Return an empty store."""
    return FakeStore()


@pytest.fixture
def vms(store) -> FakeVms:
    """Return two VMs."""
    return FakeVms(store)


@pytest.fixture
def fake_time() -> FakeTime:
    """Return a clock that sleeping moves on."""
    return FakeTime()


@pytest.fixture
def conns(store, vms, fake_time) -> Connections:
    """Return connections to the fakes."""
    return Connections(store, vms, vms, fake_time.sleep, fake_time.clock)


@pytest.fixture
def run(conns, tmp_path, monkeypatch):
    """Return a function that runs a command and returns its tester."""
    monkeypatch.setenv("BERYLSTAGE_PLATFORM", "127.0.0.1:20000")
    monkeypatch.setenv("BERYLSTAGE_AUTHOR", "aigerim")
    app = OperatorApplication(lambda cfg: conns)

    def execute(command: str, sheet: str | None = None, **kwargs) -> CommandTester:
        name, _, args = command.partition(" ")
        if sheet is not None:
            path = tmp_path / "sheet.csv"
            path.write_text(sheet)
            args = args.replace("SHEET", str(path))
        tester = CommandTester(app.find(name))
        tester.execute(args, **{"interactive": False, **kwargs})
        return tester

    return execute
