"""Sections and columns of a sheet; the operators' pages are generated from them."""

from __future__ import annotations

from berylstage_sheet.cells import (
    AddressCell,
    Cell,
    ChoiceCell,
    IntegerCell,
    KeyCell,
    NameCell,
    NumberCell,
    TextCell,
    ThresholdCell,
    YesNoCell,
)
from berylstage_sheet.configuration import (
    DataCentreState,
    MemberState,
    Ownership,
    RequestClass,
)

MAX_SHARDS = 16384
MAX_SLOTS = 1000
MAX_CONNECTIONS = 65535
MAX_DEADLINE_MS = 600_000

BASED_ON = "based on"
AUTHOR = "author"


class Column:
    """One column of a section.

    Parameters
    ----------
    name : str
        Name in the header row.
    cell : Cell
        Type of the column's cells.
    meaning : str
        Description for the operators' pages, in one sentence.
    required : bool
        Whether its cells must not be empty.
    """

    __slots__ = ("name", "cell", "meaning", "required")

    def __init__(self, name: str, cell: Cell, meaning: str, required: bool = True):
        self.name = name
        self.cell = cell
        self.meaning = meaning
        self.required = required


class Section:
    """One section of the sheet.

    Parameters
    ----------
    name : str
        Name in the section's title row.
    subject : str
        What a row of the section describes.
    meaning : str
        Description for the operators' pages, in one sentence.
    columns : tuple of Column
        Columns of the section; the first ``identity`` columns identify a row.
    identity : int
        Number of leading columns whose combined values must be unique.
    required : bool
        Whether the sheet must contain the section with at least one row.
    """

    __slots__ = ("name", "subject", "meaning", "columns", "identity", "required")

    def __init__(
        self,
        name: str,
        subject: str,
        meaning: str,
        columns: tuple[Column, ...],
        identity: int = 1,
        required: bool = True,
    ):
        self.name = name
        self.subject = subject
        self.meaning = meaning
        self.columns = columns
        self.identity = identity
        self.required = required

    def column(self, name: str) -> Column | None:
        """Return the column with a name, ignoring case, or None."""
        for column in self.columns:
            if column.name.casefold() == name.casefold():
                return column
        return None


SHEET = Section(
    "sheet",
    "property",
    "What the sheet says of itself; `berylstage export` writes it.",
    (
        Column("property", TextCell(), f"`{BASED_ON}` or `{AUTHOR}`."),
        Column(
            "value",
            TextCell(),
            "For `based on`: the revision that was edited. `apply` refuses the sheet "
            "when another revision has been accepted since.",
        ),
    ),
    required=False,
)
SERVICES = Section(
    "services",
    "service",
    "Each service that callers reach.",
    (
        Column("service", NameCell(), "Name, as it stands in callers' URLs."),
        Column("tenant", NameCell(), "Tenant that the service works for."),
        Column(
            "keys",
            ChoiceCell(*Ownership),
            "`owned`: exactly one target answers for a key. "
            "`free`: any willing target may.",
        ),
        Column(
            "shards",
            IntegerCell(1, MAX_SHARDS),
            "Number of hash ranges that the keys are divided into; with owned keys at "
            "least one for each target, better 32. Changing it hands every key of the "
            "service over once.",
        ),
    ),
)
KINDS = Section(
    "kinds",
    "kind",
    "Each kind of request of a service; kinds that are not listed are refused.",
    (
        Column("service", NameCell(), "Service that the kind belongs to."),
        Column("kind", NameCell(), "Name, as it stands in callers' URLs."),
        Column(
            "class",
            ChoiceCell(*RequestClass),
            "`interactive`: somebody waits. `standard`: soon. "
            "`batch`: may wait behind the other two.",
        ),
        Column(
            "repeatable",
            YesNoCell(),
            "`no`: runs at most once, so callers send an idempotency key. "
            "Only with owned keys.",
        ),
        Column(
            "deadline ms",
            IntegerCell(1, MAX_DEADLINE_MS),
            "Time allowed when the caller names none, in milliseconds.",
        ),
    ),
    identity=2,
)
DATA_CENTRES = Section(
    "data centres",
    "data centre",
    "Each data centre, and whether it takes work.",
    (
        Column("data centre", NameCell(), "Name."),
        Column(
            "state",
            ChoiceCell(*DataCentreState),
            "`closed`: its targets get no new work.",
        ),
    ),
)
VMS = Section(
    "VMs",
    "VM",
    "Each entry VM that runs the daemon.",
    (
        Column("VM", NameCell(), "Name, as the platform lists it."),
        Column("data centre", NameCell(), "Data centre that it stands in."),
        Column(
            "state",
            ChoiceCell(*MemberState),
            "`joining`: may not have started yet. `leaving`: hands over its targets.",
        ),
    ),
)
TARGETS = Section(
    "targets",
    "target",
    "Each target behind the router.",
    (
        Column(
            "target",
            NameCell(),
            "Name, unique over all services. A new server takes a new name.",
        ),
        Column("service", NameCell(), "Service that it serves."),
        Column("address", AddressCell(), "Where it listens."),
        Column("data centre", NameCell(), "Data centre that it stands in."),
        Column(
            "slots",
            IntegerCell(1, MAX_SLOTS),
            "Requests that it works on at the same time.",
        ),
        Column(
            "connections",
            IntegerCell(1, MAX_CONNECTIONS),
            "Connections that it accepts; at least as many as slots.",
        ),
        Column(
            "checks fences",
            YesNoCell(),
            "Whether the target itself refuses orders under an old fence token.",
        ),
        Column(
            "state",
            ChoiceCell(MemberState.ACTIVE, MemberState.LEAVING),
            "`leaving`: gets no new work.",
        ),
    ),
)
KEYS = Section(
    "keys",
    "key",
    "Keys with special care: each is a shard of its own.",
    (
        Column("service", NameCell(), "Service of the key."),
        Column("key", KeyCell(), "The key. Format the column as text."),
        Column(
            "target",
            NameCell(),
            "Target that the key stays on while that target takes work; empty leaves "
            "the choice to the router.",
            required=False,
        ),
    ),
    identity=2,
    required=False,
)
THRESHOLDS = Section(
    "thresholds",
    "threshold",
    "Overrides of the policy's thresholds.",
    (
        Column("name", ThresholdCell(), "Name of the threshold."),
        Column("value", NumberCell(), "Its value, in the threshold's unit."),
    ),
    required=False,
)

SECTIONS = (SHEET, SERVICES, KINDS, DATA_CENTRES, VMS, TARGETS, KEYS, THRESHOLDS)
