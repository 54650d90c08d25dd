"""Tests that the soak detects violations, and short soaks of stops and pauses."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from pathlib import Path
from random import Random

import pytest

sys.path.insert(0, str(Path(__file__).parent))

from soak.callers import Caller, Request
from soak.configuration import get_loopback_prefix
from soak.cuts import CONTACT_SECONDS
from soak.ledger import FAULT_EFFECT_SECONDS, Ledger
from soak.links import BYTES_PER_MBIT, MAX_PENDING_SECONDS, Link
from soak.play import PLANNED_STOPS_MODE, Soak
from soak.target_links import FIRST_LINK_PORT, CutMode, TargetLink
from soak.targets import PORT, SoakTarget

HERE = Path(__file__).parent

# Size of the ledger of a soak in which keys move often, and processor seconds for its
# checks.
LARGE_LEDGER_TARGETS = 5
LARGE_LEDGER_RUNS = 1000
LARGE_LEDGER_GRANTS_PER_TARGET = 15
LARGE_LEDGER_CHECK_SECONDS = 5.0


class FakeTarget:
    """The attributes of a target that the ledger reads."""

    def __init__(self, name, holds=()):
        self.name = name
        self.incarnation = 1
        self.holds = list(holds)


@pytest.fixture
def ledger():
    return Ledger()


def expires_in(seconds):
    return time.monotonic() + seconds


class TestLedger:
    def test_run_without_faults_has_no_violation(self, ledger):
        ledger.record_run(FakeTarget("i-1"), "order-1", None)
        ledger.record_answer(
            "order-1", "POST", 200, b"answer to order-1", "i-1.order-1"
        )
        ledger.record_answer("order-2", "POST", 503, b"", "")
        assert ledger.find_violations() == []

    def test_order_that_ran_twice(self, ledger):
        # Guards against a retry of an order that has already run.
        ledger.record_run(FakeTarget("i-1"), "order-1", None)
        ledger.record_run(FakeTarget("i-2"), "order-1", None)
        assert ledger.find_violations() == ["order-1 ran at ['i-1', 'i-2']"]

    def test_lookup_may_run_twice(self, ledger):
        ledger.record_run(FakeTarget("i-1"), "lookup-1", "7")
        ledger.record_run(FakeTarget("i-2"), "lookup-1", "7")
        assert ledger.find_violations() == []

    def test_refusal_of_an_order_that_ran(self, ledger):
        # The caller would take the order as not run and place it again.
        ledger.record_run(FakeTarget("i-1"), "order-1", None)
        ledger.record_answer("order-1", "POST", 503, b"", "")
        assert len(ledger.find_violations()) == 1

    @pytest.mark.parametrize(
        ("body", "mark"),
        [
            (b"answer to lookup-2", "i-1.lookup-2"),
            (b"answer to look", "i-1.lookup-1"),
            (b"answer to lookup-1", "i-9.lookup-1"),
        ],
    )
    def test_wrong_answer(self, ledger, body, mark):
        ledger.record_run(FakeTarget("i-1"), "lookup-1", "7")
        ledger.record_answer("lookup-1", "GET", 200, body, mark)
        assert len(ledger.find_violations()) == 1

    def test_keys_with_two_holders(self, ledger):
        # Guards against granting keys that another target still holds.
        ledger.record_grants(FakeTarget("i-1", [(0, 99, 5, expires_in(3.0))]))
        ledger.record_grants(FakeTarget("i-2", [(50, 200, 6, expires_in(3.0))]))
        (fault,) = ledger.find_violations()
        assert fault.startswith("keys 50 to 99 held by i-1 and i-2")

    def test_keys_that_were_released_before(self, ledger):
        first = FakeTarget("i-1", [(0, 99, 5, expires_in(3.0))])
        ledger.record_grants(first)
        first.holds = []
        ledger.record_grants(first)
        ledger.record_grants(FakeTarget("i-2", [(0, 99, 6, expires_in(3.0))]))
        assert ledger.find_violations() == []

    def test_keys_granted_while_another_target_works_on_them(self, ledger):
        # Guards against taking a target that has closed its port for one that ended.
        first = FakeTarget("i-1", [(0, 99, 5, expires_in(3.0))])
        ledger.record_grants(first)
        ledger.record_run(first, "lookup-1", "7")
        first.holds = []
        ledger.record_grants(first)
        time.sleep(0.01)
        ledger.record_grants(FakeTarget("i-2", [(0, 99, 6, expires_in(3.0))]))
        time.sleep(0.05)
        ledger.record_run_end(first, "lookup-1")
        (fault,) = ledger.find_violations()
        assert fault.startswith("lookup-1 for key 7 ran at i-1 until")

    @pytest.mark.parametrize("holds", [0.0, 3.0])
    def test_keys_granted_after_work_or_hold_has_ended(self, ledger, holds):
        first = FakeTarget("i-1", [(0, 99, 5, expires_in(holds))])
        ledger.record_grants(first)
        ledger.record_run(first, "lookup-1", "7")
        if holds:
            ledger.record_run_end(first, "lookup-1")
        first.holds = []
        ledger.record_grants(first)
        time.sleep(0.01)
        ledger.record_grants(FakeTarget("i-2", [(0, 99, 6, expires_in(3.0))]))
        time.sleep(0.05)
        ledger.record_run_end(first, "lookup-1")
        assert ledger.find_violations() == []

    def test_ended_target_holds_nothing(self, ledger):
        first = FakeTarget("i-1", [(0, 99, 5, expires_in(3.0))])
        ledger.record_grants(first)
        ledger.record_target_end(first)
        ledger.record_grants(FakeTarget("i-2", [(0, 99, 6, expires_in(3.0))]))
        assert ledger.find_violations() == []

    def test_checks_of_a_large_ledger_end_in_time(self, ledger):
        # Guards against checks that outlast the soak and the time CI gives it.
        targets = [FakeTarget(f"i-{n}") for n in range(LARGE_LEDGER_TARGETS)]
        for n in range(LARGE_LEDGER_RUNS):
            target = targets[n % LARGE_LEDGER_TARGETS]
            keys = range(LARGE_LEDGER_GRANTS_PER_TARGET)
            target.holds = [(key, key, n, expires_in(3.0)) for key in keys]
            ledger.record_grants(target)
            ledger.record_run(target, f"lookup-{n}", str(n % len(keys)))
            ledger.record_run_end(target, f"lookup-{n}")
        began = time.process_time()
        ledger.find_violations()
        assert time.process_time() - began < LARGE_LEDGER_CHECK_SECONDS


class TestLosses:
    """Which losses a planned stop may cause, and which it may not."""

    @pytest.fixture(autouse=True)
    def _record_request(self, ledger):
        ledger.record_request("order-1", 0)

    @pytest.mark.parametrize("status", [0, 502, 504])
    def test_request_that_ran_without_an_answer(self, ledger, status):
        # The process exits while a target runs an order; the caller can't know whether
        # the order ran.
        ledger.record_run(FakeTarget("i-1"), "order-1", None)
        ledger.record_answer("order-1", "POST", status, b"", "")
        assert len(ledger.find_violations()) == 1

    def test_truncated_answer(self, ledger):
        # The process exits with the rest of a download in its buffers.
        ledger.record_answer("order-1", "POST", 0, b"HTTP/1.1 200 OK", "")
        assert len(ledger.find_violations()) == 1

    def test_request_that_ran_and_was_never_answered(self, ledger):
        # The request has no outcome at the end of the run.
        ledger.record_run(FakeTarget("i-1"), "order-1", None)
        assert len(ledger.find_violations()) == 1

    def test_request_that_no_target_saw_may_be_retried(self, ledger):
        # The request was in flight when the VM closed its connection.
        ledger.record_answer("order-1", "POST", 0, b"", "")
        assert ledger.find_violations() == []

    def test_complete_answer(self, ledger):
        ledger.record_run(FakeTarget("i-1"), "order-1", None)
        ledger.record_answer(
            "order-1", "POST", 200, b"answer to order-1", "i-1.order-1"
        )
        assert ledger.find_violations() == []

    def test_answer_that_is_shorter_than_requested(self, ledger):
        # Guards against taking a part of a download for all of it.
        ledger.record_request("lookup-1", 90)
        ledger.record_run(FakeTarget("i-1"), "lookup-1", "7")
        body = b"answer to lookup-1".ljust(89, b".")
        ledger.record_answer("lookup-1", "GET", 200, body, "i-1.lookup-1")
        assert len(ledger.find_violations()) == 1

    @pytest.mark.parametrize(
        ("start", "end", "faults"),
        [
            (-1.0, 1.0, 0),
            (-10.0, -FAULT_EFFECT_SECONDS + 0.5, 0),
            (-10.0, -FAULT_EFFECT_SECONDS - 0.5, 1),
            (5.0, 6.0, 1),
        ],
    )
    def test_unplanned_faults_excuse_requests_near_them(
        self, ledger, start, end, faults
    ):
        # A fault that ended long before the request, or began after it, can't have
        # caused the loss.
        began = time.monotonic()
        ledger.record_run(FakeTarget("i-1"), "order-1", None)
        ledger.record_answer("order-1", "POST", 0, b"", "")
        ledger.record_unplanned_fault(began + start, began + end)
        assert len(ledger.find_violations()) == faults

    @pytest.mark.parametrize(("status", "faults"), [(0, 0), (1, 1), (-9, 1), (None, 1)])
    def test_stop_that_does_not_end_cleanly(self, ledger, status, faults):
        # The platform kills a VM that still runs when its stop time is over.
        ledger.record_stop("vm-1", time.monotonic() - 6.0, status)
        assert len(ledger.find_violations()) == faults


class TestLimits:
    """Which requests a target that names a limit may get."""

    LIMIT = 1.0
    ALLOWED = 11

    @pytest.fixture(autouse=True)
    def _clock(self, monkeypatch):
        self.moment = 100.0
        monkeypatch.setattr(time, "monotonic", lambda: self.moment)

    def find(self, ledger, arrivals, told_at=0.0, fault=None, ends_at=60.0):
        """Return the violations of arrivals, in seconds after the limit was named."""
        notices, self.moment = ledger.notices, 100.0
        notices.record_request("told", "vm-1")
        notices.record_request("order", "vm-1")
        notices.record_limit("i-1", self.LIMIT)
        events = [(told_at, notices.record_answer, ("told", "i-1"))]
        events += [(at, notices.record_arrival, ("i-1", "order")) for at in arrivals]
        events += [(ends_at, notices.record_limit, ("i-1", None))]
        for seconds, record, args in sorted(events, key=lambda event: event[0]):
            self.moment = 100.0 + seconds
            record(*args)
        if fault is not None:
            self.moment = 100.0 + fault[1]
            notices.record_vm_fault("vm-1", 100.0 + fault[0])
        return ledger.find_violations()

    def test_more_than_the_limit_allows(self, ledger):
        arrivals = [4.0 + n / 10 for n in range(self.ALLOWED + 1)]
        assert len(self.find(ledger, arrivals)) == 1

    def test_as_many_as_the_limit_allows(self, ledger):
        arrivals = [4.0 + n / 10 for n in range(self.ALLOWED)]
        assert self.find(ledger, arrivals + [n + 4.2 for n in arrivals]) == []

    def test_requests_before_the_limit_settles_count_in_later_windows(self, ledger):
        arrivals = [1.0 + n / 10 for n in range(self.ALLOWED)]
        assert self.find(ledger, arrivals) == []
        assert len(self.find(Ledger(), [*arrivals, 4.5])) == 1

    @pytest.mark.parametrize(
        "excuse",
        [
            {"told_at": 5.0},
            {"ends_at": 3.9},
            {"fault": (1.0, 2.0)},
            {"fault": (3.0, 9.0)},
        ],
    )
    def test_requests_of_a_vm_that_does_not_know_the_limit(self, ledger, excuse):
        # The VM has not seen the limit, or it is over, or the VM was suspended.
        arrivals = [4.0 + n / 10 for n in range(self.ALLOWED + 1)]
        assert self.find(ledger, arrivals, **excuse) == []

    def test_fault_before_the_limit_excuses_nothing(self, ledger):
        arrivals = [4.0 + n / 10 for n in range(self.ALLOWED + 1)]
        assert len(self.find(ledger, arrivals, fault=(-9.0, -1.0))) == 1


class TestCutLedger:
    """What callers must be served while VMs are cut off from targets."""

    def find(self, ledger, monkeypatch, inside, outside, sent_at=CONTACT_SECONDS):
        """Return the violations of requests, each side as (served, failed)."""
        moment = 100.0
        monkeypatch.setattr(time, "monotonic", lambda: moment)
        cut = ledger.cuts.record_begin(["vm-1"], "cut")
        moment += sent_at
        for vm, (served, failed) in (("vm-1", inside), ("vm-2", outside)):
            for n, status in enumerate(served * [200] + failed * [503]):
                ledger.record_request(f"lookup-{vm}-{n}", 0, vm)
                ledger.record_run(FakeTarget("i-1"), f"lookup-{vm}-{n}", "7")
                body = f"answer to lookup-{vm}-{n}".encode()
                sign = f"i-1.lookup-{vm}-{n}"
                ledger.record_answer(f"lookup-{vm}-{n}", "GET", status, body, sign)
        moment += 1.0
        ledger.cuts.record_end(cut)
        return ledger.find_violations()

    @pytest.mark.parametrize(
        ("inside", "outside", "faults"),
        [
            ((0, 14), (100, 0), 1),
            ((14, 14), (100, 0), 1),
            ((60, 14), (100, 0), 0),
            ((0, 12), (100, 0), 0),
            ((100, 0), (100, 20), 1),
            ((100, 0), (100, 12), 0),
        ],
    )
    def test_callers_of_cut_vms_and_of_the_others(
        self, ledger, monkeypatch, inside, outside, faults
    ):
        assert len(self.find(ledger, monkeypatch, inside, outside)) == faults

    def test_requests_before_the_cut_has_settled_do_not_count(
        self, ledger, monkeypatch
    ):
        found = self.find(ledger, monkeypatch, (0, 50), (0, 50), CONTACT_SECONDS - 0.1)
        assert found == []


class TestRests:
    """Which requests a VM may send to a target that has asked it for rest."""

    @pytest.mark.parametrize(
        ("seconds", "vm", "faults"),
        [
            ((1.0, 1.5, 2.5), "vm-1", 1),
            ((1.0, 1.5), "vm-1", 0),
            ((0.1, 0.2, 0.4, 2.5), "vm-1", 0),
            ((2.9, 3.1, 3.2, 3.3), "vm-1", 0),
            ((1.0, 1.5, 2.5), "vm-2", 0),
        ],
    )
    def test_requests_during_a_rest(self, ledger, monkeypatch, seconds, vm, faults):
        moment = 100.0
        monkeypatch.setattr(time, "monotonic", lambda: moment)
        ledger.notices.record_request("order-1", "vm-1")
        ledger.notices.record_request("order-2", vm)
        ledger.notices.record_rest("i-1", "order-1", 3.0)
        for seconds_later in seconds:
            moment = 100.0 + seconds_later
            ledger.notices.record_arrival("i-1", "order-2")
        assert len(ledger.find_violations()) == faults


class TestDepartures:
    """Which requests a VM may send to a target that it knows to leave."""

    @pytest.mark.parametrize(
        ("sent_at", "arrives_at", "vm", "ends_at", "faults"),
        [
            (2.1, 2.2, "vm-1", 9.0, 1),
            (1.9, 2.9, "vm-1", 9.0, 0),
            (2.1, 2.2, "vm-2", 9.0, 0),
            (2.1, 2.2, "vm-1", 2.0, 0),
        ],
    )
    def test_requests_to_a_leaving_target(
        self, ledger, monkeypatch, sent_at, arrives_at, vm, ends_at, faults
    ):
        moment = 100.0
        monkeypatch.setattr(time, "monotonic", lambda: moment)
        notices = ledger.notices
        notices.record_request("order-1", "vm-1")
        notices.record_departure("order-1", "i-1")
        events = [
            (sent_at, notices.record_request, ("order-2", vm)),
            (arrives_at, notices.record_arrival, ("i-1", "order-2")),
            (ends_at, notices.record_target_end, ("i-1",)),
        ]
        for seconds, record, args in sorted(events, key=lambda event: event[0]):
            moment = 100.0 + seconds
            record(*args)
        assert len(ledger.find_violations()) == faults


class TestCaller:
    """Which outcomes callers behind a slow link record."""

    SMALL = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    LAST = SMALL.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)

    def send_lookups(self, ledger, sent, lookups=1, link=None, ends=True):
        """Return the outcomes of lookups at a server that sends ``sent``."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(sent)
            await writer.drain()
            if not ends:
                await asyncio.sleep(1.0)
            writer.close()

        async def scenario():
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            address = server.sockets[0].getsockname()
            caller = Caller(address, link or Link(10.0), ledger)
            requests = [Request(f"lookup-{n}", n) for n in range(lookups)]
            await asyncio.wait_for(caller.send_requests(requests, 0.0), 5.0)
            caller.close()
            server.close()
            return [ledger.answers[r.request_id][1:3] for r in requests]

        return asyncio.run(scenario())

    def test_answers_of_several_requests(self, ledger):
        assert self.send_lookups(ledger, 2 * self.SMALL, 2, ends=False) == 2 * [
            (200, b"ok")
        ]

    def test_partial_answer_is_recorded(self, ledger):
        # Guards against recording a truncated answer as no answer at all.
        assert self.send_lookups(ledger, self.SMALL[:-1], 2) == [
            (0, self.SMALL[:-1]),
            (0, b""),
        ]

    def test_connection_that_ends_without_an_answer(self, ledger):
        assert self.send_lookups(ledger, b"") == [(0, b"")]

    def test_nothing_is_expected_after_the_last_answer(self, ledger):
        # A VM accepts no request on a connection after it has announced the close.
        outcomes = self.send_lookups(ledger, self.LAST, 2, ends=False)
        assert outcomes == [(200, b"ok"), (0, b"")]

    def test_answer_takes_the_time_of_its_link(self, ledger):
        # Without this delay no answer would be in flight when a VM stops.
        size = BYTES_PER_MBIT // 2
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size
        began = time.monotonic()
        ((status, body),) = self.send_lookups(
            ledger, head + bytes(size), link=Link(1.0)
        )
        assert (status, len(body)) == (200, size)
        assert time.monotonic() - began >= 0.5

    def test_link_accepts_no_more_than_a_stop_can_transfer(self):
        # Answers that the link can't transfer in time would be reported as lost.
        link = Link(10.0)
        most = int(MAX_PENDING_SECONDS * 10.0 * BYTES_PER_MBIT)
        assert link.has_room(most)
        link.add_pending_bytes(1)
        assert not link.has_room(most)
        link.add_pending_bytes(-1)
        assert link.has_room(most)


class TestSoak:
    @pytest.mark.parametrize(("is_even", "most"), [(False, 3), (True, 1)])
    def test_load_is_even_when_all_requests_must_be_answered(
        self, tmp_path, is_even, most
    ):
        # Batches of lookups, or lookups close together, fill a target's queue, so that
        # it refuses some. The final check would report these as violations.
        soak = Soak(tmp_path, 8.0, 46, PLANNED_STOPS_MODE)
        soak.has_even_load = is_even
        drawn = [len(soak.draw_requests(Link(10.0))) for _ in range(200)]
        pauses = {soak.draw_pause_seconds() for _ in range(200)}
        assert max(drawn) == most
        assert (len(pauses) == 1) is is_even


class TestTargets:
    GRANT = b'{"from": 0, "target": 9, "fence": 1, "hold_ms": 5000}'
    HEAD = b"POST /v1/grant HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
    HEALTH = b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"

    def test_crashed_target_accepts_no_grant(self, ledger):
        # The connections of a crashed target close one after the other. A grant that
        # arrives meanwhile would overlap later grants of the same keys to others.
        async def scenario():
            target = SoakTarget(
                "i-1", "s", f"{get_loopback_prefix()}.2", ledger, Random(1)
            )
            target.start()
            ends = [await asyncio.open_connection(target.ip, PORT) for _ in range(8)]
            for reader, writer in ends:
                writer.write(self.HEALTH)
                await reader.readuntil(b"\r\n\r\n")
            for _, writer in ends:
                writer.write(self.HEAD % len(self.GRANT) + self.GRANT)
            await target.crash()
            await asyncio.sleep(0.05)
            return target.holds

        assert asyncio.run(scenario()) == []

    def test_crashed_target_runs_nothing(self, ledger):
        # Orders that waited for a slot at the crash would be recorded as run twice.
        async def scenario():
            target = SoakTarget(
                "i-1", "s", f"{get_loopback_prefix()}.2", ledger, Random(1)
            )
            target.start()
            for n in range(8):
                _, writer = await asyncio.open_connection(target.ip, PORT)
                writer.write(Request(f"order-{n}", None).encode())
            await asyncio.sleep(0.02)
            await target.crash()
            ran = len(ledger.runs)
            await asyncio.sleep(0.5)
            return ran, len(ledger.runs)

        ran, ran_later = asyncio.run(scenario())
        assert ran > 0
        assert ran_later == ran


class TestTargetLinks:
    """What a VM sees of a target while the link between them is cut."""

    def observe(self, mode):
        """Return what an open and a new connection do in a cut and after it."""
        ip = f"{get_loopback_prefix()}.9"

        async def echo(reader, writer):
            while data := await reader.read(1):
                writer.write(data)

        async def exchange(reader, writer):
            writer.write(b"x")
            try:
                return (await asyncio.wait_for(reader.read(1), 0.3)).decode() or "end"
            except TimeoutError:
                return "silent"
            except ConnectionResetError:
                return "reset"

        async def connect():
            try:
                opening = asyncio.open_connection(ip, FIRST_LINK_PORT)
                return await exchange(*await asyncio.wait_for(opening, 0.3))
            except TimeoutError:
                return "hangs"
            except ConnectionRefusedError:
                return "refused"

        async def scenario():
            server = await asyncio.start_server(echo, ip, PORT)
            link = TargetLink(ip, PORT, 0)
            link.open()
            conn = await asyncio.open_connection(ip, FIRST_LINK_PORT)
            assert await exchange(*conn) == "x"
            link.cut(mode)
            in_cut = await exchange(*conn), await connect()
            link.heal()
            after = await exchange(*conn), await connect()
            link.close()
            server.close()
            return in_cut, after

        return asyncio.run(scenario())

    @pytest.mark.parametrize(
        ("mode", "in_cut", "open_connection_after"),
        [
            (CutMode.SILENT, ("silent", "hangs"), ("reset", "end")),
            (CutMode.RESET, ("reset", "refused"), ("reset", "end")),
            (CutMode.REFUSING, ("x", "refused"), ("x",)),
        ],
    )
    def test_cut_and_heal(self, mode, in_cut, open_connection_after):
        seen, (after, new) = self.observe(mode)
        assert seen == in_cut
        assert after in open_connection_after
        assert new == "x"


def run_soak(*options):
    """Run a soak and check that it finds no violation."""
    done = subprocess.run(
        [sys.executable, "soak/play.py", *options],
        cwd=HERE,
        capture_output=True,
        text=True,
        timeout=90,
        check=False,
    )
    assert done.returncode == 0, done.stdout + done.stderr


@pytest.mark.failures
@pytest.mark.failures_ci
class TestStops:
    def test_overlapping_stops_lose_nothing(self):
        # Guards against stopping VMs that exit with answers in their buffers, unread
        # requests in their sockets, or unfinished calls to targets.
        run_soak("--stops", "--seconds=8", "--seed=1")


@pytest.mark.failures
@pytest.mark.failures_ci
class TestShortPauses:
    def test_vms_suspended_for_a_moment_lose_nothing(self):
        # Guards against 504 for requests whose answers arrived while the VM was
        # suspended.
        run_soak("--hold-ups", "--seconds=8", "--seed=5")


@pytest.mark.failures
@pytest.mark.failures_ci
class TestNotices:
    def test_target_that_names_a_limit_gets_no_more(self):
        # Guards against VMs that pass on a target's limit and send as before.
        run_soak("--limits", "--seconds=10", "--seed=2")

    def test_target_that_asks_for_rest_gets_it(self):
        # Guards against VMs that ask a target again which has turned them away.
        run_soak("--rests", "--seconds=8", "--seed=1")

    def test_target_that_says_it_leaves_gets_nothing_more(self):
        # Guards against VMs that learn from the store alone that a target leaves.
        run_soak("--departures", "--seconds=8", "--seed=1")


@pytest.mark.failures
@pytest.mark.failures_ci
class TestCuts:
    def test_recover_callers_of_vms_with_silent_links_to_targets(self):
        # Guards against VMs that hold requests for targets which only others reach.
        run_soak("--silent-cuts", "--seconds=2", "--seed=1")

    def test_recover_callers_of_vms_whose_links_to_targets_are_reset(self):
        # Guards against VMs, the coordinator among them, that take refused connections
        # for targets that have ended.
        run_soak("--reset-cuts", "--seconds=2", "--seed=1")

    def test_recover_callers_of_vms_that_are_refused_new_connections(self):
        # Guards against VMs that serve only as many as their open connections can.
        run_soak("--refused-cuts", "--seconds=2", "--seed=3")
