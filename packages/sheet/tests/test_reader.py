"""Tests of reading and validating sheets."""

from __future__ import annotations

import pytest
from berylstage_sheet.configuration import (
    DataCentreState,
    MemberState,
    Ownership,
    RequestClass,
)
from berylstage_sheet.errors import (
    CellFault,
    DuplicateFault,
    FaultySheet,
    LayoutFault,
    RuleFault,
    UnknownNameFault,
)
from berylstage_sheet.reader import read_sheet

ORDERS_2 = "orders-2,orders,10.0.0.2:80,south,2,120,no,leaving"
ORDERS_1 = "orders-1,orders,10.0.0.1:80,north,2,120,yes,active"

# Each entry: the replacement in the valid sheet, and the single fault that it causes
# with its class, row, column and a part of its message.
FAULTS = [
    (("based on,41", "based on,yesterday"), CellFault, 3, "value", "is not a revision"),
    (("based on,41", "base,41"), CellFault, 3, "property", "'based on' or"),
    (("orders,acme,owned,16", "orders,,owned,16"), CellFault, 7, "tenant", "empty"),
    (("acme,owned,16", "acme,mine,16"), CellFault, 7, "keys", "`owned` or `free`"),
    (("acme,owned,16", "acme,owned,0"), CellFault, 7, "shards", "1 to 16384"),
    (("acme,owned,16", "acme,owned,1"), RuleFault, 7, "shards", "use 2 at least"),
    (("acme,owned,16", "acme,free,16"), RuleFault, 12, "repeatable", "owned keys"),
    (
        ("prices,acme,free,4", "orders,acme,free,4\nprices,acme,free,4"),
        DuplicateFault,
        8,
        "service",
        "is already defined in row 7",
    ),
    (("no,5000", "no,0"), CellFault, 12, "deadline ms", "from 1 to 600000"),
    (("no,5000", "no,5000,9"), LayoutFault, 12, "", "is not under any column"),
    (("north,open", "north,closed"), RuleFault, 17, "", "every data centre is closed"),
    (
        ("south,closed", "south,closed\nnorth,closed"),
        DuplicateFault,
        19,
        "data centre",
        "is already defined in row 17",
    ),
    (
        ("south-1,south,joining", "south-1,west,joining"),
        UnknownNameFault,
        23,
        "data centre",
        "'west' is not in section",
    ),
    (
        (ORDERS_2, ORDERS_2.replace("0.2", "0.1")),
        DuplicateFault,
        28,
        "address",
        "the address of orders-1 in row 27",
    ),
    (
        (ORDERS_1, ORDERS_1.replace("active", "leaving")),
        RuleFault,
        7,
        "service",
        "no target accepts requests for orders",
    ),
    (
        (ORDERS_1, ORDERS_1.replace("active", "joining")),
        CellFault,
        27,
        "state",
        "`active` or `leaving`",
    ),
    (
        (ORDERS_1, ORDERS_1.replace(",120,", ",1,")),
        RuleFault,
        27,
        "connections",
        "use 2 at least",
    ),
    (
        ("orders,hot/key 1,orders-1", "orders,hot/key 1,prices-1"),
        RuleFault,
        33,
        "target",
        "serves prices, not orders",
    ),
    (
        ("orders,hot/key 1,orders-1", "orders,hot/key 1,orders-9"),
        UnknownNameFault,
        33,
        "target",
        "write 'orders-",
    ),
    (
        ("queue.limit,0.5", "queue.limit,much"),
        CellFault,
        38,
        "value",
        "is not a number",
    ),
    (("\nthresholds\n", "\ntreshold\n"), LayoutFault, 36, "", "use one of: sheet"),
]


def read_faults(raw: bytes) -> list:
    """Return the faults of a sheet; empty if it is valid."""
    try:
        read_sheet(raw)
    except FaultySheet as exc:
        return exc.faults
    return []


class TestConfiguration:
    def test_matches_the_sheet(self, text):
        sheet = read_sheet(text.encode())
        cfg = sheet.cfg
        assert sheet.based_on == 41
        assert cfg.revision == 0
        assert cfg.services["orders"].ownership is Ownership.OWNED
        assert cfg.services["orders"].kinds["place"].repeatable is False
        assert cfg.services["prices"].kinds["read"].deadline_ms == 1000
        kind = cfg.services["prices"].kinds["read"]
        assert kind.request_class is RequestClass.INTERACTIVE
        assert cfg.data_centres["south"].state is DataCentreState.CLOSED
        assert cfg.vms["south-1"].state is MemberState.JOINING
        assert cfg.targets["orders-1"].checks_fences is True
        assert not cfg.takes_work(cfg.targets["orders-2"])
        assert [(k.key, k.target) for k in cfg.special_keys] == [
            ("hot/key 1", "orders-1"),
            ("hot", None),
        ]
        assert cfg.thresholds == {"queue.limit": 0.5}


class TestFaults:
    @pytest.mark.parametrize(
        ("change", "kind", "row", "column", "message"),
        FAULTS,
        ids=lambda value: value[1].strip() if isinstance(value, tuple) else "",
    )
    def test_one_fault(self, edited_sheet, change, kind, row, column, message):
        # One mistake in a spreadsheet of hundreds of rows must be reported with its
        # cell, and must not be obscured by further faults that follow from it.
        (fault,) = read_faults(edited_sheet(change))
        assert type(fault) is kind
        assert (fault.row, fault.column) == (row, column)
        assert message in str(fault)

    def test_all_faults_at_once(self, edited_sheet):
        # If only one fault were reported at a time, the operator would have to export
        # the sheet again for each of them, which delays the change.
        raw = edited_sheet(
            ("based on,41", "based on,?"),
            ("acme,owned,16", "acme,owned,x"),
            ("south,closed", "south,shut"),
            ("queue.limit,0.5", "queue.limit,"),
        )
        places = [(f.row, f.column) for f in read_faults(raw)]
        assert places == [(3, "value"), (7, "shards"), (18, "state"), (38, "value")]

    def test_unknown_service(self, edited_sheet):
        # A service is misspelt in the kinds. The remedy suggests the closest service
        # name, and the service that has no kind as a result is reported as well.
        other, fault = read_faults(edited_sheet(("prices,read,", "price,read,")))
        assert isinstance(fault, UnknownNameFault)
        assert (fault.row, fault.column) == (13, "service")
        assert "write 'prices'" in fault.remedy
        assert "prices has no kind" in other.problem

    def test_every_vm_leaving(self, edited_sheet):
        # If every VM is leaving, no VM remains to answer callers.
        raw = edited_sheet(
            ("north-1,north,active", "north-1,north,leaving"),
            ("south-1,south,joining", "south-1,south,leaving"),
        )
        (fault,) = read_faults(raw)
        assert "keep one active" in str(fault)

    def test_missing_column(self, edited_sheet):
        # A renamed column in the header row is reported as an unknown and a missing
        # column, without a fault for each cell below it.
        raw = edited_sheet(("service,tenant,keys", "service,tenants,keys"))
        assert [f.row for f in read_faults(raw)] == [6, 6]

    def test_missing_sections(self):
        # The operator exports the wrong tab of the spreadsheet.
        faults = read_faults(b"thresholds\nname,value\nx,1\n")
        names = ("services", "kinds", "data centres", "VMs", "targets")
        expected = [f"section '{name}' is missing" for name in names]
        assert [fault.problem for fault in faults] == expected

    def test_misspelt_section_skips_its_rows(self, edited_sheet):
        # Only the misspelt section row is reported. Its rows would otherwise be parsed
        # as rows of the previous section, with a fault for each of them.
        faults = read_faults(edited_sheet(("\ntargets\n", "\ntarget\n")))
        assert [f.row for f in faults if f.row] == [7, 8, 25]

    def test_section_twice(self, edited_sheet):
        # Rows are pasted together with their section row. The second section row is
        # reported.
        faults = read_faults(edited_sheet(("\nkeys\n", "\nservices\n")))
        assert "appears twice" in str(next(f for f in faults if f.row == 31))

    def test_threshold_rejected_by_the_policy(self, text):
        # If a sheet with a misspelt threshold were accepted, each VM would reject the
        # threshold only in its own log, where operators do not look.
        def refuse(values):
            return [ValueError(f"no threshold is named {n!r}; use x") for n in values]

        with pytest.raises(FaultySheet) as caught:
            read_sheet(text.encode(), refuse)
        (fault,) = caught.value.faults
        assert (fault.row, fault.column) == (38, "value")
        assert fault.remedy == "use x"

    def test_too_large_for_the_store(self, text):
        # The store rejects values over 1 MB. `check` must report this before the
        # operator approves the changes.
        keys = "\n".join(f"prices,{number:0200},prices-1" for number in range(5000))
        faults = read_faults(text.replace("prices,hot,\n", keys + "\n").encode())
        assert "1000000 at most" in str(faults[0])


class TestSpreadsheets:
    """Exports of the same sheet by different spreadsheet programs."""

    @pytest.mark.parametrize(
        "export",
        [
            lambda text: text.encode("utf-8-sig"),
            lambda text: text.replace("\n", "\r\n").encode(),
            lambda text: text.replace(",", ";").replace("0.5", "0,5").encode(),
            lambda text: text.replace(",", "\t").encode(),
            lambda text: b"sep=;\r\n" + text.replace(",", ";").encode(),
            lambda text: "\n".join(f"{li},,,," for li in text.split("\n")).encode(),
            lambda text: text.replace("acme", '"acme"').encode(),
            lambda text: text.replace("acme", "\u00a0acme ").encode(),
            lambda text: text.replace("VMs\n", "vms\n").encode(),
        ],
        ids="bom crlf semicolons tabs sep-line trailing quotes spaces case".split(),
    )
    def test_same_configuration(self, text, export):
        expected = read_sheet(text.encode()).cfg.to_json()
        assert read_sheet(export(text)).cfg.to_json() == expected

    @pytest.mark.parametrize(
        ("raw", "message"),
        [
            ("services\n".encode("utf-16"), "CSV UTF-8"),
            (b'services\nservice,"ten', "close the open quote"),
            (b"x" * 4_000_001, "4000000 at most"),
            (b"", "'services' is missing"),
        ],
    )
    def test_unreadable_file(self, raw, message):
        # For a file that is not CSV in UTF-8, the operator must be told how to export
        # it instead of getting a traceback.
        assert any(message in str(fault) for fault in read_faults(raw))
