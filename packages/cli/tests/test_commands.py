"""Tests of the commands as operators run them."""

from __future__ import annotations

import json

import pytest
from berylstage_cli.exit_codes import ExitCode
from berylstage_cli.vms import KeyOwner, UnknownKey, VmFault, VmStatus
from berylstage_platform.errors import StoreUnavailable
from berylstage_sheet.configuration import CONFIGURATION_KEY

CLOSE = ("south,open", "south,closed")
BASED_ON = "sheet,\nproperty,value\nbased on,{}\n\n"
OUTAGE = 1000
CONNECTED = ["diff SHEET", "apply SHEET", "export", "show", "history", "status"]


@pytest.fixture
def applied(run, text):
    """Apply the first sheet."""
    assert run("apply SHEET", text).status_code == ExitCode.OK


class TestCheck:
    def test_good_sheet(self, run, text):
        tester = run("check SHEET", text)
        assert tester.status_code == ExitCode.OK
        assert "2 targets" in tester.io.fetch_output()

    def test_faults_with_row_and_column(self, run, text):
        # A sheet with two mistakes. Both are told at once, and scripts get them too.
        spoilt = text.replace("owned,16", "owned,x").replace("south,open", "south,shut")
        tester = run("check SHEET", spoilt)
        assert tester.status_code == ExitCode.FAULTY_SHEET
        told = tester.io.fetch_error()
        assert "row 3, column D (shards)" in told
        assert "row 12, column B (state)" in told
        tester = run("check SHEET --json", spoilt)
        doc = json.loads(tester.io.fetch_output())
        assert [fault["row"] for fault in doc["faults"]] == [3, 12]
        assert doc["exit_code"] == ExitCode.FAULTY_SHEET

    def test_missing_file(self, run):
        tester = run("check nowhere.csv")
        assert tester.status_code == ExitCode.USAGE
        assert "nowhere.csv" in tester.io.fetch_error()


class TestApply:
    def test_shows_what_changes_and_where_it_is_in_force(self, run, text, applied):
        tester = run("apply SHEET", BASED_ON.format(1) + text.replace(*CLOSE))
        told = tester.io.fetch_output()
        assert tester.status_code == ExitCode.OK
        assert "stops work:\n  data centre south: state open -> closed" in told
        assert "revision 2 is in force on 2 of 2 VMs" in told
        assert "set 'based on' to 2" in told

    def test_faulty_sheet_writes_nothing(self, run, text, store):
        # A faulty sheet reaches `apply` unchecked: the store must not see it.
        tester = run("apply SHEET", text.replace("owned,16", "owned,x"))
        assert tester.status_code == ExitCode.FAULTY_SHEET
        assert store.writes == []

    def test_change_that_cannot_be_made_in_place(self, run, text, applied, store):
        # A new server under an old name would share its fence tokens with the server
        # that had the name before, which may still be at work.
        tester = run("apply SHEET", text.replace("10.0.0.1:80", "10.0.0.9:80"))
        assert tester.status_code == ExitCode.FAULTY_SHEET
        assert "give the new server a new name" in tester.io.fetch_error()
        assert store.configuration().revision == 1

    def test_conflict_tells_who_won(self, run, text, applied, store):
        # Two operators edit revision 1. The second one is told who was first and
        # how the two sheets differ, and changes nothing.
        run("apply SHEET --author=daulet", BASED_ON.format(1) + text.replace(*CLOSE))
        mine = BASED_ON.format(1) + text.replace("no,5000", "no,4000")
        tester = run("apply SHEET", mine)
        told = tester.io.fetch_error()
        assert tester.status_code == ExitCode.CONFLICT
        assert "daulet got revision 2 accepted" in told
        assert "data centre south: state closed -> open" in told
        assert "deadline ms 5000 -> 4000" in told
        assert store.configuration().revision == 2
        doc = json.loads(run("apply SHEET --json", mine).io.fetch_output())
        assert doc["winner"] == {"revision": 2, "author": "daulet"}
        assert len(doc["changes"]) == 2

    def test_sheet_of_another_platform(self, run, text, store):
        # The sheet is based on a revision that this store never had.
        tester = run("apply SHEET", BASED_ON.format(41) + text)
        assert tester.status_code == ExitCode.CONFLICT
        assert "--platform" in tester.io.fetch_error()
        assert store.writes == []

    def test_same_sheet_again(self, run, text, applied, store):
        # The first `apply` was cut off and the operator repeats it, with the base
        # that was right the first time. It is no conflict with oneself.
        tester = run("apply SHEET", BASED_ON.format(0) + text)
        assert tester.status_code == ExitCode.OK
        assert store.configuration().revision == 1

    def test_names_the_vms_that_lack_it(self, run, text, applied, vms):
        # One VM is cut off while a data centre is closed.
        vms.answers["south-1"] = [VmFault("no answer (timeout)")]
        tester = run("apply SHEET --timeout 5", text.replace(*CLOSE))
        assert tester.status_code == ExitCode.NOT_IN_FORCE
        assert "not in force on south-1 (south): no answer" in tester.io.fetch_output()

    def test_outcome_unknown(self, run, text, applied, store):
        # The store goes down at the moment of the write. The operator gets the write
        # id to look for.
        async def meanwhile():
            store.read_faults[CONFIGURATION_KEY] = OUTAGE

        store.meanwhile = meanwhile
        store.write_faults[CONFIGURATION_KEY] = [store.Fault.LOST_AFTER_EFFECT]
        tester = run("apply SHEET --json", text.replace(*CLOSE))
        assert tester.status_code == ExitCode.UNSETTLED
        doc = json.loads(tester.io.fetch_output())
        assert doc["write_id"] == store.configuration().write_id

    @pytest.mark.parametrize(
        ("answer", "code"), [("no", ExitCode.DECLINED), ("yes", ExitCode.OK)]
    )
    def test_asks_a_person(self, run, text, store, answer, code):
        tester = run("apply SHEET", text, inputs=f"{answer}\n", interactive=True)
        assert tester.status_code == code
        assert bool(store.writes) is (code == ExitCode.OK)

    def test_yes_does_not_ask(self, run, text):
        assert run("apply SHEET -y", text, interactive=True).status_code == 0


class TestDiff:
    def test_writes_nothing(self, run, text, applied, store):
        store.writes.clear()
        tester = run("diff SHEET --json", text.replace(*CLOSE))
        (change,) = json.loads(tester.io.fetch_output())["changes"]
        assert change == {
            "weight": "stops work",
            "kind": "altered",
            "section": "data centres",
            "name": ["south"],
            "column": "state",
            "before": "open",
            "after": "closed",
        }
        assert store.writes == []


class TestExport:
    def test_exported_sheet_applies_without_changes(self, run, applied, tmp_path):
        path = tmp_path / "exported.csv"
        assert run(f"export -o {path}").status_code == ExitCode.OK
        told = run(f"diff {path}").io.fetch_output()
        assert told == "no changes to revision 1\n"

    def test_standard_output(self, run, applied):
        assert "based on,1" in run("export").io.fetch_output()


class TestShow:
    def test_prints_every_section(self, run, applied):
        told = run("show").io.fetch_output()
        assert "revision 1 by aigerim" in told
        assert "orders-2" in told

    def test_json(self, run, applied):
        doc = json.loads(run("show --json").io.fetch_output())
        assert doc["revision"] == 1
        assert {row["section"] for row in doc["rows"]} >= {"services", "VMs"}


class TestHistory:
    def test_newest_first(self, run, text, applied):
        run("apply SHEET", text.replace(*CLOSE))
        doc = json.loads(run("history --json").io.fetch_output())
        assert [line["revision"] for line in doc["revisions"]] == [2, 1]
        told = run("history").io.fetch_output()
        assert "data centre south: state open -> closed" in told

    def test_revision_that_nobody_recorded(self, run, text, applied, store):
        # An operator's machine dies right after the write. The revision in force
        # must not be missing from the list.
        store.entries.pop("berylstage/history")
        assert "revision 1  time unknown" in run("history").io.fetch_output()


class TestStatus:
    def test_each_vm(self, run, applied, vms):
        vms.answers["south-1"] = [VmStatus("south-1", "south", 0)]
        tester = run("status")
        assert tester.status_code == ExitCode.NOT_IN_FORCE
        assert "revision 0 is in force" in tester.io.fetch_output()
        doc = json.loads(run("status --json").io.fetch_output())
        assert doc["vms"][0]["configuration_revision"] == 1


class TestOwner:
    OWNER = KeyOwner("orders", "k/1", "orders/7", "orders-2", "south-1", 9, "south-1")

    def test_asks_the_next_vm(self, run, vms):
        # The first VM of the list is gone; any other one knows the owner as well.
        vms.owners["south-1"] = self.OWNER
        told = run("owner orders k/1").io.fetch_output()
        assert "orders k/1: orders-2" in told
        assert "shard orders/7, fence 9" in told

    @pytest.mark.parametrize(
        ("answer", "message"),
        [
            (VmFault("no answer"), "north-1: no answer"),
            (UnknownKey("no service"), "north-1 names no owner: no service"),
        ],
    )
    def test_no_answer(self, run, vms, answer, message):
        # Every VM is silent, or the service is misspelt.
        vms.owners["north-1"] = answer
        tester = run("owner orders k/1")
        assert tester.status_code == ExitCode.NO_ANSWER
        assert message in tester.io.fetch_error()


class TestPlatformFaults:
    @pytest.mark.parametrize("command", CONNECTED)
    def test_store_down(self, run, text, store, command):
        # The platform is down for longer than a command waits.
        store.read_faults[CONFIGURATION_KEY] = OUTAGE
        tester = run(command, text)
        assert tester.status_code == ExitCode.STORE_UNREACHABLE
        assert "--platform" in tester.io.fetch_error()

    @pytest.mark.parametrize("command", ["export", "show", "history", "status"])
    def test_empty_store(self, run, command):
        # The commands are tried before the first sheet was applied.
        tester = run(command)
        assert tester.status_code == ExitCode.NO_ANSWER
        assert "apply SHEET" in tester.io.fetch_error()

    def test_list_of_vms_down(self, run, vms):
        # The platform does not answer when asked for its VMs.
        vms.listing_fault = StoreUnavailable("no answer")
        assert run("owner orders k").status_code == ExitCode.STORE_UNREACHABLE


class TestSettings:
    def test_all_faults_at_once(self, run, monkeypatch):
        # Two settings are wrong. Telling one at a time would take a run for each.
        monkeypatch.setenv("BERYLSTAGE_PLATFORM", "platform:80")
        tester = run("show --timeout soon")
        assert tester.status_code == ExitCode.USAGE
        told = tester.io.fetch_error()
        assert "--platform 'platform:80' cannot be used" in told
        assert "--timeout 'soon' cannot be used" in told

    def test_missing(self, run, monkeypatch):
        # Nothing says where the platform is.
        monkeypatch.delenv("BERYLSTAGE_PLATFORM")
        assert "BERYLSTAGE_PLATFORM" in run("show").io.fetch_error()
