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


def ended(second, vm, reason, detail="", path="/visits/1", left_out=0):
    fields = {"reason": reason, "detail": detail, "path": path, "left_out": left_out}
    return line(second, vm, "request ended", **fields)


LINES = [
    line(10.0, "vm-1", "started"),
    ended(11.2, "vm-1", "owner-busy", "queue i-a keeper 10.0.0.1 number 4"),
    ended(11.4, "vm-2", "owner-busy", "queue i-a keeper 10.0.0.1 number 9", left_out=7),
    ended(11.6, "vm-2", "owner-busy", "queue i-b keeper 10.0.0.1 number 1"),
    ended(11.9, "vm-3", "no-owner", "key 15445 owner i-c former i-d", "/orders/2?x=1"),
    ended(14.0, "vm-3", "timeout", "target i-c attempts 1: GET"),
    line(14.5, "vm-3", "request answered", left_out=20),
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
