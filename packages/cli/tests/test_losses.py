"""Tests of summing up lost requests."""

from __future__ import annotations

import json

import pytest
from berylstage_cli.application import OperatorApplication
from berylstage_cli.exit_codes import ExitCode
from berylstage_cli.losses import NOT_WRITTEN, sum_up
from cleo.testers.application_tester import ApplicationTester


def line(second, vm, message, **fields):
    time = f"2026-10-18T09:23:{second:06.3f}+00:00"
    return json.dumps({"time": time, "vm": vm, "message": message, **fields})


def ended(second, vm, reason, detail="", path="/visits/1", left_out=0, **more):
    fields = {"reason": reason, "detail": detail, "path": path, "left_out": left_out}
    return line(second, vm, "request ended", **fields, **more)


def cut(second, vm, request, phase, left=0, unread=False):
    fields = {"id": request, "phase": phase, "bytes_left": left, "unread": unread}
    return line(second, vm, "connection cut", **fields)


def phase_ended(second, vm, phase, seconds):
    return line(second, vm, "stop phase ended", phase=phase, seconds=seconds)


def stopped(second, vm, begun, closed_idle, cut, bytes_cut):
    counts = {"begun": begun, "closed_idle": closed_idle, "closed_unread": 1}
    counts |= {"cut": cut, "bytes_cut": bytes_cut}
    return line(second, vm, "stopped", **counts)


LINES = [
    line(10.0, "vm-1", "started"),
    ended(11.2, "vm-1", "owner-busy", "queue i-a keeper 10.0.0.1 number 4"),
    ended(11.4, "vm-2", "owner-busy", "queue i-a keeper 10.0.0.1 number 9", left_out=7),
    ended(11.6, "vm-2", "owner-busy", "queue i-b keeper 10.0.0.1 number 1"),
    ended(11.9, "vm-3", "no-owner", "key 15445 owner i-c former i-d", "/orders/2?x=1"),
    ended(14.0, "vm-3", "timeout", "target i-c attempts 1: GET"),
    line(14.5, "vm-3", "request answered", left_out=20),
]

STOPS = [
    line(10.0, "vm-1", "stopping", in_flight=4),
    line(10.5, "vm-2", "stopping", in_flight=0),
    line(10.6, "vm-3", "stopping", in_flight=9),
    phase_ended(12.6, "vm-1", "leaving", 2.6),
    phase_ended(13.1, "vm-2", "leaving", 2.8),
    phase_ended(13.2, "vm-3", "leaving", 2.6),
    phase_ended(15.4, "vm-1", "flushing", 2.8),
    cut(15.4, "vm-1", "served", "serving"),
    cut(15.4, "vm-1", "half-out", "flushing", 90_000),
    cut(15.6, "vm-1", "also-out", "flushing", 10_000),
    cut(15.7, "vm-1", "", "flushing", unread=True),
    cut(15.8, "vm-1", "whole", "flushing", unread=True),
    stopped(15.9, "vm-1", 7, 5, 5, 100_000),
    stopped(13.3, "vm-2", 1, 2, 0, 0),
]


class TestSumUp:
    def test_losses_are_counted_by_second_and_reason(self):
        rows = {(r.second, r.reason): r for r in sum_up(LINES).rows}
        busy = rows[1, "owner-busy"]
        assert busy.requests == 3
        assert busy.causes == {"queue i-a": 2, "queue i-b": 1}
        assert busy.vms == {"vm-1": 1, "vm-2": 2}
        assert rows[1, "no-owner"].causes == {"key 15445": 1}
        assert rows[1, "no-owner"].kinds == {"/orders/": 1}
        assert rows[4, "timeout"].causes == {"target i-c": 1}

    def test_requests_without_a_line_are_not_put_down_to_a_reason(self):
        # A VM bounds its lines under load, when most requests are lost. Counted to the
        # reason of the next line they would send an engineer after the wrong cause.
        losses = sum_up(LINES)
        assert losses.by_reason()[NOT_WRITTEN] == 7
        assert losses.by_reason()["owner-busy"] == 3
        assert losses.answered == 21

    def test_lines_in_any_order_with_others_among_them(self):
        losses = sum_up(["no line", *reversed(LINES), "{", ""])
        assert [row.second for row in losses.rows] == [1, 1, 1, 4]
        assert losses.unreadable == 2

    def test_nothing_lost(self):
        assert sum_up([]).rows == []


class TestCutRequests:
    @pytest.fixture
    def rows(self):
        return {(row.second, row.reason): row for row in sum_up(STOPS).rows}

    def test_by_second_and_phase(self, rows):
        assert set(rows) == {(5, "cut while serving"), (5, "cut while flushing")}
        half = rows[5, "cut while flushing"]
        assert half.requests == 2
        assert half.bytes_left == 100_000
        assert half.vms == {"vm-1": 2}
        assert not half.kinds

    def test_request_is_lost_once(self):
        # Guards against counting a cut request again by its own line, as gone by its
        # caller or as answered.
        own = [
            ended(15.5, "vm-1", "caller-left", left_out=2, id="served"),
            line(15.0, "vm-1", "request answered", id="half-out", left_out=3),
            line(15.0, "vm-2", "request answered", id="served"),
        ]
        losses = sum_up([*own, *STOPS])
        assert "caller-left" not in losses.by_reason()
        assert losses.by_reason()["(not written)"] == 2
        assert losses.answered == 4

    def test_connection_without_a_lost_request_counts_apart(self):
        # Guards against naming a request as lost whose answer has left: the id of a
        # connection that was only unread is that of its last answer.
        losses = sum_up(STOPS)
        assert sum(losses.by_reason().values()) == 3
        assert losses.stops.without_request == 2

    def test_line_of_a_log_that_lacks_fields(self):
        # Guards against a fault of the command at a line that was cut short.
        bare = line(10.0, "vm-1", "connection cut", id="a", bytes_left="many")
        phase = line(10.0, "vm-1", "stop phase ended", phase="leaving")
        losses = sum_up([bare, phase, line(11.0, "vm-1", "stopped", cut=None)])
        assert losses.stops.without_request == 1
        assert losses.stops.ended == 1


@pytest.fixture
def run(tmp_path):
    """Return what runs the command line over log lines."""

    def play(command, lines=LINES):
        log = tmp_path / "vms.log"
        log.write_text("\n".join(lines))
        tester = ApplicationTester(OperatorApplication())
        code = tester.execute(command.format(log=log))
        return code, tester.io.fetch_output(), tester.io.fetch_error()

    return play


class TestLossesCommand:
    def test_table(self, run):
        code, out, _ = run("losses {log}")
        assert code == ExitCode.OK
        assert "     1         3  owner-busy: queue i-a 2, queue i-b 1" in out
        assert "7 (not written)" in out
        assert "21 requests were answered" in out

    def test_json(self, run):
        code, out, _ = run("losses {log} --json")
        assert code == ExitCode.OK
        assert json.loads(out)["reasons"]["no-owner"] == 1

    def test_file_that_is_not_there(self, run):
        code, _, err = run("losses nowhere.log")
        assert code == ExitCode.USAGE
        assert "name files with log lines" in err

    def test_nothing_lost(self, run):
        _, out, _ = run("losses {log}", [line(1.0, "vm-1", "started")])
        assert "no request was lost" in out


class TestStops:
    def test_counts_of_all_vms(self):
        stops = sum_up(STOPS).stops
        assert (stops.seen, stops.ended) == (3, 2)
        assert (stops.counts["begun"], stops.counts["closed_idle"]) == (8, 7)
        assert (stops.counts["cut"], stops.counts["bytes_cut"]) == (5, 100_000)

    def test_times_of_phases(self):
        times = sum_up(STOPS).stops.times()
        assert list(times) == ["leaving", "flushing"]
        assert times["leaving"] == (2.6, 2.8)
        assert times["flushing"] == (2.8, 2.8)

    def test_table(self, run):
        _, out, _ = run("losses {log}", STOPS)
        assert "5         2  cut while flushing: 100000 bytes left; vm-1 2" in out
        assert "3 VMs began to stop, 2 told what it has cost:" in out
        assert "  requests begun after SIGTERM: 8\n" in out
        assert "  bytes cut: 100000\n" in out
        assert "  leaving: 2.6 s at the median, 2.8 s at most\n" in out
        assert "2 connections were cut without a request that was read" in out

    def test_json(self, run):
        _, out, _ = run("losses {log} --json", STOPS)
        doc = json.loads(out)
        assert doc["rows"][0]["bytes_left"] == 100_000
        assert doc["stops"] == {
            "seen": 3,
            "ended": 2,
            "begun": 8,
            "closed_idle": 7,
            "cut": 5,
            "bytes_cut": 100_000,
            "closed_unread": 2,
            "without_request": 2,
            "phases": {
                "leaving": {"median": 2.6, "most": 2.8},
                "flushing": {"median": 2.8, "most": 2.8},
            },
        }

    def test_no_stop(self, run):
        _, out, _ = run("losses {log}", [line(1.0, "vm-1", "started")])
        assert "stop" not in out
