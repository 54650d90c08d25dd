"""Fixtures with a small valid sheet and with edited copies of it."""

from __future__ import annotations

import pytest

SHEET = """\
sheet
property,value
based on,41

services
service,tenant,keys,shards
orders,acme,owned,16
prices,acme,free,4

kinds
service,kind,class,repeatable,deadline ms
orders,place,interactive,no,5000
prices,read,interactive,yes,1000

data centres
data centre,state
north,open
south,closed

VMs
VM,data centre,state
north-1,north,active
south-1,south,joining

targets
target,service,address,data centre,slots,connections,checks fences,state
orders-1,orders,10.0.0.1:80,north,2,120,yes,active
orders-2,orders,10.0.0.2:80,south,2,120,no,leaving
prices-1,prices,10.0.0.3:80,north,2,120,no,active

keys
service,key,target
orders,hot/key 1,orders-1
prices,hot,

thresholds
name,value
queue.limit,0.5
"""


@pytest.fixture
def text() -> str:
    """Return the text of the valid sheet."""
    return SHEET


@pytest.fixture
def edited_sheet(text):
    """Return a function that replaces parts of the sheet and encodes the result."""

    def edit_sheet(*pairs: tuple[str, str]) -> bytes:
        changed = text
        for old, new in pairs:
            assert changed.count(old) == 1, f"{old!r} occurs {changed.count(old)} times"
            changed = changed.replace(old, new)
        return changed.encode()

    return edit_sheet
