"""Tests of finding out whether a target that refuses connections has terminated."""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from berylstage_entry.clock import now
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.link_check import CheckResult
from berylstage_entry.protocols import Record
from berylstage_entry.termination_check import (
    DATA_CENTRE_REFUSED,
    REACHED,
    REFUSED,
    UNKNOWN,
    TerminationCheck,
)
from fakes import target

REFUSES, ACCEPTS, HANGS = (
    CheckResult.REFUSED,
    CheckResult.ACCEPTED,
    CheckResult.SILENT,
)


class Peers:
    """Other VMs with one answer each."""

    def __init__(self, answers):
        self._answers = dict(enumerate(answers))

    def other_addresses(self):
        return list(self._answers)

    async def call(self, address, path, body=b""):
        return self._answers[address]


def make_check(results, answers=(), data_centres=("dc-1", "dc-1"), idle=True):
    """Return the check of a VM with links to the targets a and b."""
    view = ClusterView()
    for name, data_centre in zip("ab", data_centres, strict=True):
        record = Record(target=target(name, data_centre=data_centre))
        view.apply(record, now(), False)

    async def is_idle(target, seconds):
        return idle

    check = TerminationCheck(view, Peers(answers), Random(1), is_idle)
    by_address = dict(zip([target(n).address for n in "ab"], results, strict=True))

    async def check_link(address):
        return by_address[address]

    check.check_link = check_link
    return check


def ask(results, answers=(), **changes):
    check = make_check(results, answers, **changes)
    return asyncio.run(check.is_terminated(target("a"), 3.0))


class TestIsTerminated:
    def test_this_vm_and_another_one_are_refused(self):
        assert ask((REFUSES, ACCEPTS), [REFUSED])

    def test_target_that_may_still_run_requests(self):
        # Guards against giving on the keys of a target that leaves.
        assert not ask((REFUSES, ACCEPTS), [REFUSED], idle=False)

    @pytest.mark.parametrize("control", [REFUSES, HANGS])
    def test_vm_that_no_target_accepts(self, control):
        # Guards against a VM whose links are reset, which takes all targets for gone.
        assert not ask((REFUSES, control), [REFUSED])

    def test_another_vm_reaches_the_target(self):
        # Guards against a VM that has lost the link to this target alone.
        assert not ask((REFUSES, ACCEPTS), [REACHED])

    @pytest.mark.parametrize("control", [ACCEPTS, REFUSES])
    def test_other_vm_that_reaches_the_target_shows_a_lost_link(self, control):
        # Guards against a coordinator that keeps renewing over lost links.
        check, lost = make_check((REFUSES, control), [UNKNOWN, REACHED]), []
        check.on_reached_by_other = lambda target: lost.append(target.name)
        assert not asyncio.run(check.is_terminated(target("a"), 3.0))
        assert lost == ["a"]

    @pytest.mark.parametrize("answer", [UNKNOWN, None])
    def test_nobody_else_can_tell(self, answer):
        assert not ask((REFUSES, ACCEPTS), [answer])

    def test_all_targets_of_the_data_centre_have_crashed(self):
        # Guards against keys that wait for grants of targets that are certainly gone.
        far = {"data_centres": ("dc-1", "dc-2")}
        views = [DATA_CENTRE_REFUSED, REFUSED, DATA_CENTRE_REFUSED]
        assert ask((REFUSES, ACCEPTS), views, **far)
        views[1] = UNKNOWN
        assert not ask((REFUSES, ACCEPTS), views, **far)

    def test_one_vm_alone_has_lost_a_data_centre(self):
        # Guards against two holders, because the links to a data centre are reset.
        far = {"data_centres": ("dc-1", "dc-2")}
        views = [DATA_CENTRE_REFUSED, DATA_CENTRE_REFUSED, REACHED]
        assert not ask((REFUSES, ACCEPTS), views, **far)

    def test_second_vm_can_tell(self):
        assert ask((REFUSES, ACCEPTS), [UNKNOWN, REFUSED])

    def test_there_is_no_other_vm(self):
        assert ask((REFUSES, ACCEPTS))

    @pytest.mark.parametrize("result", [ACCEPTS, HANGS])
    def test_target_that_does_not_refuse(self, result):
        assert not ask((result, ACCEPTS), [REFUSED])


class TestAnswer:
    @pytest.mark.parametrize(
        ("results", "answer"),
        [
            ((REFUSES, ACCEPTS), REFUSED),
            ((ACCEPTS, REFUSES), REACHED),
            ((REFUSES, REFUSES), UNKNOWN),
            ((HANGS, ACCEPTS), UNKNOWN),
        ],
    )
    def test_answer_to_another_vm(self, results, answer):
        check = make_check(results)
        assert asyncio.run(check.answer(b"a 1")) == answer

    @pytest.mark.parametrize("body", [b"a 2", b"z 1", b""])
    def test_target_that_this_vm_does_not_know(self, body):
        check = make_check((REFUSES, ACCEPTS))
        assert asyncio.run(check.answer(body)) == UNKNOWN
