"""Tests that the soak finds what must never be, and a short soak of planned stops."""

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
from soak.configuration import own_network
from soak.ledger import AFTERMATH_S, Ledger
from soak.links import BYTES_PER_MBIT, MOST_OWED_S, Link
from soak.play import STOPS_ALONE, Soak
from soak.targets import PORT, SoakTarget

HERE = Path(__file__).parent


class Target:
    """A target as the ledger sees it."""

    def __init__(self, name, holds=()):
        self.name = name
        self.life = 1
        self.holds = list(holds)


@pytest.fixture
def ledger():
    return Ledger()


def until(seconds):
    return time.monotonic() + seconds


class TestLedger:
    def test_calm_play_has_no_fault(self, ledger):
        ledger.ran(Target("i-1"), "order-1", None)
        ledger.answered("order-1", "POST", 200, b"answer to order-1", "i-1.order-1")
        ledger.answered("order-2", "POST", 503, b"", "")
        assert ledger.faults() == []

    def test_order_that_ran_twice(self, ledger):
        # A repeat went out after the first answer was lost, and a second motor ships.
        ledger.ran(Target("i-1"), "order-1", None)
        ledger.ran(Target("i-2"), "order-1", None)
        assert ledger.faults() == ["order-1 ran at ['i-1', 'i-2']"]

    def test_lookup_may_run_twice(self, ledger):
        ledger.ran(Target("i-1"), "lookup-1", "7")
        ledger.ran(Target("i-2"), "lookup-1", "7")
        assert ledger.faults() == []

    def test_refusal_of_an_order_that_ran(self, ledger):
        # The caller is told that its order has not run, and places it again.
        ledger.ran(Target("i-1"), "order-1", None)
        ledger.answered("order-1", "POST", 503, b"", "")
        assert len(ledger.faults()) == 1

    @pytest.mark.parametrize(
        ("body", "mark"),
        [
            (b"answer to lookup-2", "i-1.lookup-2"),
            (b"answer to look", "i-1.lookup-1"),
            (b"answer to lookup-1", "i-9.lookup-1"),
        ],
    )
    def test_answer_that_is_not_the_request_s_own(self, ledger, body, mark):
        ledger.ran(Target("i-1"), "lookup-1", "7")
        ledger.answered("lookup-1", "GET", 200, body, mark)
        assert len(ledger.faults()) == 1

    def test_keys_with_two_holders(self, ledger):
        # A target keeps its keys while another one is granted some of them.
        ledger.held(Target("i-1", [(0, 99, 5, until(3.0))]))
        ledger.held(Target("i-2", [(50, 200, 6, until(3.0))]))
        (fault,) = ledger.faults()
        assert fault.startswith("keys 50 to 99 held by i-1 and i-2")

    def test_keys_that_were_released_before(self, ledger):
        first = Target("i-1", [(0, 99, 5, until(3.0))])
        ledger.held(first)
        first.holds = []
        ledger.held(first)
        ledger.held(Target("i-2", [(0, 99, 6, until(3.0))]))
        assert ledger.faults() == []

    def test_target_that_ended_holds_nothing(self, ledger):
        first = Target("i-1", [(0, 99, 5, until(3.0))])
        ledger.held(first)
        ledger.ended(first)
        ledger.held(Target("i-2", [(0, 99, 6, until(3.0))]))
        assert ledger.faults() == []


class TestLosses:
    """What a planned stop may cost, and what it may not."""

    @pytest.fixture(autouse=True)
    def _asked(self, ledger):
        ledger.asked("order-1", 0)

    @pytest.mark.parametrize("status", [0, 502, 504])
    def test_request_that_ran_for_nothing(self, ledger, status):
        # The process ends while a target is at work on an order; the caller can't know.
        ledger.ran(Target("i-1"), "order-1", None)
        ledger.answered("order-1", "POST", status, b"", "")
        assert len(ledger.faults()) == 1

    def test_answer_that_breaks_off(self, ledger):
        # The process ends with the rest of a download in its buffers.
        ledger.answered("order-1", "POST", 0, b"HTTP/1.1 200 OK", "")
        assert len(ledger.faults()) == 1

    def test_request_that_ran_and_waits_for_ever(self, ledger):
        # Its caller was told nothing when the play ended.
        ledger.ran(Target("i-1"), "order-1", None)
        assert len(ledger.faults()) == 1

    def test_request_that_no_target_saw_may_be_asked_again(self, ledger):
        # It crossed the close of its connection.
        ledger.answered("order-1", "POST", 0, b"", "")
        assert ledger.faults() == []

    def test_whole_answer(self, ledger):
        ledger.ran(Target("i-1"), "order-1", None)
        ledger.answered("order-1", "POST", 200, b"answer to order-1", "i-1.order-1")
        assert ledger.faults() == []

    def test_answer_that_is_shorter_than_asked_for(self, ledger):
        # A part of a download passes for all of it.
        ledger.asked("lookup-1", 90)
        ledger.ran(Target("i-1"), "lookup-1", "7")
        body = b"answer to lookup-1".ljust(89, b".")
        ledger.answered("lookup-1", "GET", 200, body, "i-1.lookup-1")
        assert len(ledger.faults()) == 1

    @pytest.mark.parametrize(
        ("start", "end", "faults"),
        [
            (-1.0, 1.0, 0),
            (-10.0, -AFTERMATH_S + 0.5, 0),
            (-10.0, -AFTERMATH_S - 0.5, 1),
            (5.0, 6.0, 1),
        ],
    )
    def test_unplanned_faults_excuse_what_is_near(self, ledger, start, end, faults):
        # One that ended long before, or began after the request's end, is another's.
        began = time.monotonic()
        ledger.ran(Target("i-1"), "order-1", None)
        ledger.answered("order-1", "POST", 0, b"", "")
        ledger.troubled(began + start, began + end)
        assert len(ledger.faults()) == faults

    @pytest.mark.parametrize(("status", "faults"), [(0, 0), (1, 1), (-9, 1), (None, 1)])
    def test_stop_that_does_not_end_well(self, ledger, status, faults):
        # The platform kills a VM that is still at it when its stop time is over.
        ledger.stopped("vm-1", time.monotonic() - 6.0, status)
        assert len(ledger.faults()) == faults


class TestCaller:
    """What callers behind a slow link note of their connections."""

    SMALL = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    LAST = SMALL.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)

    def told(self, ledger, sent, lookups=1, link=None, ends=True):
        """Return what callers were told by a server that sends these bytes."""

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
            await asyncio.wait_for(caller.ask(requests, 0.0), 5.0)
            caller.close()
            server.close()
            return [ledger.told[r.request_id][1:3] for r in requests]

        return asyncio.run(scenario())

    def test_answers_of_several_requests(self, ledger):
        assert self.told(ledger, 2 * self.SMALL, 2, ends=False) == 2 * [(200, b"ok")]

    def test_part_of_an_answer_is_noted(self, ledger):
        # An answer that begins and breaks off would pass for none at all.
        assert self.told(ledger, self.SMALL[:-1], 2) == [
            (0, self.SMALL[:-1]),
            (0, b""),
        ]

    def test_connection_that_ends_without_an_answer(self, ledger):
        assert self.told(ledger, b"") == [(0, b"")]

    def test_nothing_is_expected_behind_the_last_answer(self, ledger):
        # What a VM does not answer after its word that it closes was never taken.
        told = self.told(ledger, self.LAST, 2, ends=False)
        assert told == [(200, b"ok"), (0, b"")]

    def test_answer_takes_the_time_of_its_link(self, ledger):
        # Without it no answer would be on its way when a VM stops.
        size = BYTES_PER_MBIT // 2
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size
        began = time.monotonic()
        ((status, body),) = self.told(ledger, head + bytes(size), link=Link(1.0))
        assert (status, len(body)) == (200, size)
        assert time.monotonic() - began >= 0.5

    def test_link_takes_no_more_than_a_stop_can_wait_for(self):
        # Answers that cannot leave in time would be found as losses of the program.
        link = Link(10.0)
        most = int(MOST_OWED_S * 10.0 * BYTES_PER_MBIT)
        assert link.has_room(most)
        link.owe(1)
        assert not link.has_room(most)
        link.owe(-1)
        assert link.has_room(most)


class TestSoak:
    @pytest.mark.parametrize(("is_even", "most"), [(False, 3), (True, 1)])
    def test_load_is_even_where_all_must_be_answered(self, tmp_path, is_even, most):
        # Lookups that come several at once, or close together, fill the queue of a
        # target, which refuses some; the play would find fault where there is none.
        soak = Soak(tmp_path, 8.0, 46, STOPS_ALONE)
        soak.is_even = is_even
        drawn = [len(soak.requests(Link(10.0))) for _ in range(200)]
        pauses = {soak.pause() for _ in range(200)}
        assert max(drawn) == most
        assert (len(pauses) == 1) is is_even


class TestTargets:
    GRANT = b'{"from": 0, "target": 9, "fence": 1, "hold_ms": 5000}'
    HEAD = b"POST /v1/grant HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"
    HEALTH = b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n"

    def test_crashed_target_takes_no_grant(self, ledger):
        # A grant that comes while its connections close, one after the other, seems to
        # give it keys which others have been granted since.
        async def scenario():
            target = SoakTarget("i-1", "s", f"{own_network()}.2", ledger, Random(1))
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
        # Orders that waited for a slot when it crashed would seem to run twice.
        async def scenario():
            target = SoakTarget("i-1", "s", f"{own_network()}.2", ledger, Random(1))
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


def play(*options):
    """Play a soak, which must find nothing that must never be."""
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
    def test_series_that_overlap_lose_nothing(self):
        # VMs that are told to stop end with answers in their buffers, requests unread
        # in their sockets, or calls to targets cut off.
        play("--stops", "--seconds=8", "--seed=1")


@pytest.mark.failures
@pytest.mark.failures_ci
class TestHoldUps:
    def test_vms_that_stand_still_for_a_moment_lose_nothing(self):
        # Guards against 504 for requests whose answers had come to such a VM.
        play("--hold-ups", "--seconds=8", "--seed=5")
