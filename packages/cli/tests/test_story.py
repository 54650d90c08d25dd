"""Tests of telling the story of one request."""

from __future__ import annotations

import json

import pytest
from berylstage_cli.exit_codes import ExitCode
from berylstage_cli.story import REASONS, tell

BEGIN = "2026-03-31T09:32:"


def line(second, vm, message, **fields):
    doc = {"time": f"{BEGIN}{second:06.3f}+00:00", "level": "info", "vm": vm}
    return json.dumps(doc | {"logger": "l", "message": message} | fields)


def ended(request, status, reason, detail="", second=10.0):
    fields = {"id": request, "status": status, "reason": reason, "detail": detail}
    return line(second, "vm-2", "request ended", **fields)


MOVE = "key 15445 owner i-b former i-a assignment 59 attempts 1"
LINES = [
    ended("lost", 503, "no-owner", MOVE),
    line(9.5, "vm-1", "assignment written", revision=59, service="s"),
    line(9.6, "vm-1", "keys not released", target="i-a", first=15000, cause="silent"),
    line(11.0, "vm-1", "keys moved", first=15000, last=15999, to="i-b", seconds=1.4),
    line(10.5, "vm-1", "keys moved", first=0, last=99, to="i-c", seconds=0.1),
    line(9.0, "vm-1", "duty taken", term=3),
    line(9.0, "vm-3", "store lost", cause="refused"),
    line(9.1, "vm-2", "store lost", cause="refused"),
    line(40.0, "vm-1", "keys moved", first=15000, last=15999, to="i-d", seconds=0.1),
    ended("busy", 503, "owner-busy", "target i-a inflight 1 others 12 slots 3"),
    line(8.0, "vm-2", "belief changed", what="target", key="records/i-a"),
    line(8.0, "vm-1", "belief changed", what="target", key="records/i-a"),
    line(10.0, "vm-2", "request answered", id="good", status=200, target="i-a"),
]


class TestTell:
    def test_key_on_the_move(self):
        # A request was refused since its key was on the move. The move is told by other
        # VMs, before and after, among lines that have nothing to do with it.
        story = tell("lost", LINES)
        assert [item.message for item in story.lines] == [
            "belief changed",
            "duty taken",
            "store lost",
            "assignment written",
            "keys not released",
            "request ended",
            "keys moved",
        ]
        assert story.conclusions == [f"503 no-owner: {REASONS['no-owner']}"]

    def test_busy_owner(self):
        messages = [item.message for item in tell("busy", LINES).lines]
        assert "belief changed" in messages
        assert "keys moved" not in messages

    def test_change_among_many_that_share_a_line(self):
        # A data centre is lost, and one line tells of all of its targets.
        first, others = "records/i-c", ["records/i-b", "records/i-a"]
        text = line(9.0, "vm-2", "belief changed", key=first, others=others)
        story = tell("busy", [*LINES, text])
        assert sum(item.message == "belief changed" for item in story.lines) == 2

    def test_answered(self):
        assert tell("good", LINES).conclusions[0].startswith("200: answered by i-a")

    def test_request_that_another_vm_sent(self):
        # A VM that has lost its links to targets has another one send its requests.
        lines = [
            line(9.0, "vm-1", "links to targets lost"),
            line(9.0, "vm-3", "links to targets lost"),
            line(
                10.0,
                "vm-2",
                "request relayed",
                id="far",
                target="i-a",
                outcome="lost",
                cause="reset",
                **{"for": "vm-1"},
            ),
            line(10.1, "vm-1", "request ended", id="far", status=502, reason="x"),
        ]
        story = tell("far", lines)
        assert [item.vm for item in story.lines] == ["vm-1", "vm-2", "vm-1"]
        assert story.conclusions[0] == "vm-2 sent it to i-a for vm-1: lost reset"

    def test_lines_behind_a_collectors_stamp(self):
        # A log collector puts its own time and the VM's name before each line.
        story = tell("lost", [f"12.3 vm-2 {text}" for text in LINES])
        assert len(story.lines) == 7

    def test_what_is_no_log_line_is_counted(self):
        story = tell("lost", [*LINES, "Traceback", "{", '{"time": 3}', "[]", ""])
        assert story.unreadable == 4


def cut(request, phase, left, second=20.0, unread=False):
    fields = {"id": request, "phase": phase, "bytes_left": left, "unread": unread}
    return line(second, "vm-2", "connection cut", **fields)


# A VM has as long as its stop time, which may be far longer than other causes.
CUT = [
    line(1.0, "vm-2", "stopping", in_flight=3),
    line(2.0, "vm-1", "stopping", in_flight=8),
    line(3.0, "vm-1", "stop phase ended", phase="leaving", seconds=2.6),
    line(3.6, "vm-2", "stop phase ended", phase="leaving", seconds=2.6, bytes_left=70),
    line(19.9, "vm-2", "stop phase ended", phase="draining", seconds=16.3),
    line(18.0, "vm-2", "request answered", id="half", status=200, target="i-a"),
    cut("half", "flushing", 90_000),
    cut("whole", "flushing", 0, unread=True),
    ended("served", 0, "caller-left", second=20.1),
    cut("served", "serving", 0),
    line(20.2, "vm-2", "stopped", cut=3),
    line(31.0, "vm-2", "stopping", in_flight=1),
    line(32.0, "vm-2", "stop phase ended", phase="leaving", seconds=1.0),
]


class TestCut:
    """Stories of requests whose connections were cut at the end of a stop."""

    def test_names_vm_phase_and_bytes(self):
        story = tell("half", CUT)
        reason = "cut while flushing"
        assert story.conclusions == [
            "200: answered by i-a, attempt None",
            f"{reason} by vm-2 with 90000 bytes left: {REASONS[reason]}",
        ]

    def test_lines_of_its_vms_stop_and_of_no_other(self):
        # Guards against a story without the begin of a stop that took long, and against
        # one of other stops.
        told = [(x.vm, x.message) for x in tell("half", CUT).lines]
        assert told == [
            ("vm-2", "stopping"),
            ("vm-2", "stop phase ended"),
            ("vm-2", "request answered"),
            ("vm-2", "stop phase ended"),
            ("vm-2", "connection cut"),
            ("vm-2", "stopped"),
        ]

    def test_served_when_it_was_cut(self):
        # Guards against laying the cut at the caller's door, who seems to have left.
        reason = "cut while serving"
        assert tell("served", CUT).conclusions == [
            f"{reason} by vm-2 with 0 bytes left: {REASONS[reason]}"
        ]

    def test_answer_that_has_left(self):
        # Guards against naming an answer as cut that has reached its caller.
        conclusion = tell("whole", CUT).conclusions[0]
        assert conclusion.startswith("its answer had left when vm-2 cut its connection")

    def test_request_behind_it_was_read(self):
        # Guards against telling that an answered request may have run again: the line
        # names it while the id of the one behind it is not known.
        story = tell("half", [*CUT[:6], cut("half", "serving", 0)])
        assert story.conclusions[1] == (
            "vm-2 cut its connection while it read the request behind it; that one has "
            "not run"
        )

    def test_log_without_the_begin_of_the_stop(self):
        story = tell("half", CUT[5:7])
        assert len(story.lines) == 2

    def test_request_that_failed_during_a_stop(self):
        # Guards against a story that grows by the phases where no cut is to be told.
        text = ended("lost", 503, "no-owner", MOVE, second=4.0)
        told = [x.message for x in tell("lost", [*CUT, text]).lines]
        assert told == ["stopping", "request ended"]


class TestExplain:
    @pytest.fixture
    def log(self, tmp_path):
        path = tmp_path / "vms.log"
        path.write_text("\n".join(LINES))
        return path

    def test_story_in_words(self, run, log):
        tester = run(f"explain lost {log}")
        told = tester.io.fetch_output()
        assert tester.status_code == ExitCode.OK
        assert "vm-1 keys moved" in told
        assert told.rstrip().endswith(REASONS["no-owner"])

    def test_story_for_scripts(self, run, log):
        doc = json.loads(run(f"explain lost {log} --json").io.fetch_output())
        assert doc["exit_code"] == ExitCode.OK
        assert len(doc["lines"]) == 7

    def test_request_that_nobody_wrote_of(self, run, log):
        tester = run(f"explain nobody {log}")
        assert tester.status_code == ExitCode.NO_ANSWER
        assert "left_out" in tester.io.fetch_error()

    def test_missing_file(self, run):
        tester = run("explain lost nowhere.log")
        assert tester.status_code == ExitCode.USAGE
        assert "nowhere.log" in tester.io.fetch_error()
