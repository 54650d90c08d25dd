"""Tests of writing sheets."""

from __future__ import annotations

from berylstage_sheet.configuration import (
    Configuration,
    DataCentre,
    DataCentreState,
    Kind,
    MemberState,
    Ownership,
    RequestClass,
    Service,
    SpecialKey,
    Target,
    Vm,
)
from berylstage_sheet.difference import compare
from berylstage_sheet.reader import read_sheet
from berylstage_sheet.writer import write_sheet
from hypothesis import given, settings
from hypothesis import strategies as st

name_texts = st.from_regex(r"[A-Za-z0-9][A-Za-z0-9-]{0,8}", fullmatch=True)
printable = st.characters(exclude_categories=("C", "Z"))
key_texts = st.text(printable, min_size=1, max_size=12)


@st.composite
def configurations(draw):
    """Draw a valid configuration."""
    services = draw(st.lists(name_texts, min_size=1, max_size=3, unique=True))
    centres = draw(st.lists(name_texts, min_size=1, max_size=3, unique=True))
    states = st.sampled_from(DataCentreState)
    data_centres = {name: DataCentre(name, draw(states)) for name in centres}
    data_centres[centres[0]].state = DataCentreState.OPEN
    targets = {
        f"t-{number}": Target(
            f"t-{number}",
            service,
            f"10.0.0.1:{number + 1}",
            centres[0],
            draw(st.integers(1, 9)),
            draw(st.integers(9, 99)),
            draw(st.booleans()),
            MemberState.ACTIVE,
        )
        for number, service in enumerate(services)
    }
    pins = [(f"t-{n}", service) for n, service in enumerate(services)]
    special = draw(st.dictionaries(key_texts, st.sampled_from(pins), max_size=3))
    return Configuration(
        draw(st.integers(0, 10**9)),
        {name: draw(service(name)) for name in services},
        data_centres,
        {"vm": Vm("vm", centres[0], MemberState.ACTIVE)},
        targets,
        [
            SpecialKey(service, key, target)
            for key, (target, service) in special.items()
        ],
        draw(st.dictionaries(name_texts.filter(str.isalpha), st.floats(-1e9, 1e9))),
    )


@st.composite
def service(draw, name):
    """Draw one service with its kinds."""
    owned = draw(st.booleans())
    kinds = {
        kind: Kind(
            kind,
            draw(st.sampled_from(RequestClass)),
            not owned or draw(st.booleans()),
            draw(st.integers(1, 600_000)),
        )
        for kind in draw(st.lists(name_texts, min_size=1, max_size=2, unique=True))
    }
    ownership = Ownership.OWNED if owned else Ownership.FREE
    return Service(
        name, draw(name_texts), ownership, draw(st.integers(1, 16384)), kinds
    )


class TestWriteSheet:
    @settings(max_examples=60, derandomize=True, deadline=None)
    @given(configurations())
    def test_round_trip(self, cfg):
        # Exporting a sheet and applying it unedited must not change anything. Data
        # lost in the round trip would become an unintended change.
        sheet = read_sheet(write_sheet(cfg).encode())
        assert compare(cfg, sheet.cfg) == []
        assert sheet.based_on == cfg.revision
