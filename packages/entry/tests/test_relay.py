"""Tests of requests that one VM sends to a target for another one."""

from __future__ import annotations

import asyncio
import socket
from copy import copy
from random import Random

import pytest
from berylstage_entry.errors import InvalidRecord
from berylstage_entry.internal_http import InternalServer
from berylstage_entry.lost_answers import TargetEnded
from berylstage_entry.membership import Member
from berylstage_entry.protocols import CallerRequest, TargetAnswer
from berylstage_entry.relay_client import (
    ISOLATION_FAILURES,
    RELAY_PATH,
    NoRelay,
    RelayClient,
    RelayTransport,
    TargetDown,
)
from berylstage_entry.relay_messages import (
    MAX_BODY_BYTES,
    RelayOutcome,
    RelayReply,
    RelayRequest,
)
from berylstage_entry.responses import Response
from berylstage_entry.targets import LoadReport, TargetNotice
from berylstage_transfers.errors import (
    AnswerLost,
    ConnectionClosed,
    NeverSent,
    NotConnected,
)
from fakes import target
from link_fleet import Link, LinkFleet, make_settings
from virtual_time import virtual_loop


def make_request(body=b"", name="i-0", incarnation=1):
    headers = {"Host": "h.example", "X-Odd": "\xe9 \u20ac"}
    req = CallerRequest("id-1", "PATCH", "h.example", "/a?b=%20", headers, 0.7, 65535)
    req.body = body
    req.workspace = "w"
    return RelayRequest("vm-1", name, incarnation, "route", False, req)


ANSWER = TargetAnswer(
    503,
    [("X-A", "1"), ("X-A", "2")],
    bytes(range(256)),
    True,
    False,
    True,
    LoadReport(1, 2, 3, 1.5),
    True,
    TargetNotice(2.5, False, 1.0, True),
)


class TestMessages:
    @pytest.mark.parametrize("body", [b"", bytes(range(256)) * 9])
    def test_request_arrives_unchanged(self, body):
        sent = make_request(body)
        got = RelayRequest.decode(sent.encode(0.5))
        for field in ("vm", "target", "incarnation", "kind", "is_repeatable"):
            assert getattr(got, field) == getattr(sent, field)
        for field in ("request_id", "method", "path", "headers", "key", "body"):
            assert getattr(got.req, field) == getattr(sent.req, field)
        assert got.req.workspace == "w"
        assert got.req.time_left == 0.5

    def test_answer_arrives_unchanged(self):
        reply = RelayReply(RelayOutcome.ANSWERED, answer=ANSWER)
        got = RelayReply.decode(reply.encode()).answer
        for field in ("status", "headers", "body", "not_run", "is_from_target"):
            assert getattr(got, field) == getattr(ANSWER, field)
        assert got.load.machine_slowdown == 1.5
        assert (got.notice.limit, got.notice.rest_seconds) == (2.5, 1.0)
        assert got.notice.is_leaving

    @pytest.mark.parametrize(
        "data", [b"", b"\0\0\0\2[]", b"\0\0\0\2{}", b"\xff" * 9, b"\0\0\0\5{"]
    )
    def test_bytes_that_are_no_message(self, data):
        with pytest.raises(InvalidRecord):
            RelayRequest.decode(data)
        with pytest.raises(InvalidRecord):
            RelayReply.decode(data)

    @pytest.mark.parametrize("status", [0, 101, 2000, "200", None])
    def test_answer_with_a_status_that_is_none(self, status):
        # Guards against a status that no caller knows.
        answer = copy(ANSWER)
        answer.status = status
        with pytest.raises(InvalidRecord):
            RelayReply.decode(RelayReply(RelayOutcome.ANSWERED, answer=answer).encode())


class Transport:
    """Replies by address; an exception is raised."""

    def __init__(self, replies):
        self.replies = replies
        self.asked = []

    async def post(self, address, body, seconds):
        self.asked.append(address)
        reply = self.replies[address]
        if isinstance(reply, Exception):
            raise reply
        return reply if isinstance(reply, bytes) else RelayReply(reply).encode()


class Members:
    def __init__(self, data_centres):
        self._data_centres = data_centres

    def members(self):
        return [
            Member(name, f"{name}:1", data_centre, 1.0)
            for name, data_centre in self._data_centres.items()
        ]


def send(replies, body=b"", seconds=1.0, data_centres=None, regions=None):
    """Have a request sent; return the outcome and the VMs that were asked."""
    transport = Transport({f"{name}:1": reply for name, reply in replies.items()})
    members = Members(dict.fromkeys(["own", *replies], "dc-1") | (data_centres or {}))
    cfg = make_settings("own", regions)
    client = RelayClient(members, cfg, Random(1), transport)
    try:
        result = asyncio.run(client.send(make_request(body), seconds))[0].outcome
    except (NeverSent, AnswerLost) as exc:
        result = type(exc)
    return result, transport.asked


class TestClient:
    ANSWERED = RelayReply(RelayOutcome.ANSWERED, answer=ANSWER).encode()

    @pytest.mark.parametrize(
        "first",
        [
            NeverSent("refused"),
            RelayOutcome.CUT_OFF,
            RelayOutcome.BUSY,
        ],
    )
    def test_vm_that_cannot_send_it(self, first):
        # Two VMs, of which either may be drawn first.
        result, asked = send({"a": first, "b": self.ANSWERED, "c": first})
        assert result is RelayOutcome.ANSWERED
        assert len(asked) == len(set(asked))

    @pytest.mark.parametrize(
        "reply",
        [AnswerLost("reset"), RelayOutcome.LOST, b"no message", RelayOutcome.ANSWERED],
    )
    def test_request_that_may_have_run_is_not_sent_again(self, reply):
        # Guards against an order that runs twice.
        result, asked = send({"a": reply, "b": reply})
        assert result is AnswerLost
        assert len(asked) == 1

    def test_target_that_is_down(self):
        assert send({"a": RelayOutcome.TARGET_DOWN})[0] is TargetDown

    def test_target_that_has_ended(self):
        # Guards against a request that ends one target after the other where it is sent
        # through other VMs.
        result, asked = send({"a": RelayOutcome.TARGET_ENDED})
        assert (result, len(asked)) == (TargetEnded, 1)

    @pytest.mark.parametrize(
        "replies", [{}, {"a": RelayOutcome.CUT_OFF}, {"a": NeverSent("refused")}]
    )
    def test_nobody_can_send_it(self, replies):
        result, asked = send(replies)
        assert result is NoRelay
        assert len(asked) == len(replies)

    def test_vm_that_no_other_vm_answers(self):
        # Guards against requests that are held to their end by a VM that is isolated.
        result, asked = send({name: NotConnected("timed out") for name in "abcdefgh"})
        assert result is NoRelay
        assert len(asked) == ISOLATION_FAILURES

    def test_lost_link_of_another_vm_says_nothing_of_its_other_links(self):
        # Guards against avoiding all VMs when the targets of a data centre are down.
        transport = Transport({"a:1": RelayOutcome.NO_LINK})
        members = Members({"own": "dc-1", "a": "dc-1"})
        client = RelayClient(members, make_settings("own"), Random(1), transport)
        with pytest.raises(NoRelay):
            asyncio.run(client.send(make_request(), 1.0))
        assert transport.asked == ["a:1"]
        transport.replies["a:1"] = self.ANSWERED
        reply, _ = asyncio.run(client.send(make_request(), 1.0))
        assert reply.outcome is RelayOutcome.ANSWERED

    def test_body_that_is_too_large(self):
        # Guards against avoiding other VMs because of one large request.
        transport = Transport({"a:1": self.ANSWERED})
        members = Members({"own": "dc-1", "a": "dc-1"})
        client = RelayClient(members, make_settings("own"), Random(1), transport)
        with pytest.raises(NoRelay):
            asyncio.run(client.send(make_request(b"x" * (MAX_BODY_BYTES + 1)), 1.0))
        assert transport.asked == []
        reply, _ = asyncio.run(client.send(make_request(b"x" * MAX_BODY_BYTES), 1.0))
        assert reply.outcome is RelayOutcome.ANSWERED

    def test_vm_of_another_region(self):
        # Guards against bodies that leave the region of their callers.
        where = {"data_centres": {"a": "dc-2"}}
        regions = {"dc-1": "east", "dc-2": "west"}
        replies = {"a": self.ANSWERED}
        assert send(replies, regions=regions, **where) == (NoRelay, [])
        regions["dc-2"] = "east"
        assert send(replies, regions=regions, **where)[0] is RelayOutcome.ANSWERED

    def test_no_time_is_left(self):
        assert send({"a": self.ANSWERED}, seconds=0.005) == (NoRelay, [])


def relay(prepare, request=None):
    """Have a VM of a fleet send a request; return the outcome and the runs."""
    with virtual_loop() as loop:

        async def scenario():
            fleet = LinkFleet()
            vm = fleet.vms["vm-1"]
            await prepare(fleet, vm)
            message = (request or make_request()).encode(0.5)
            response = await vm.relay_server.handle(message)
            return RelayReply.decode(response.body), fleet.runs

        return loop.run_until_complete(scenario())


class TestServer:
    def test_request_is_sent_to_its_target(self):
        async def prepare(fleet, vm):
            pass

        reply, runs = relay(prepare)
        assert reply.outcome is RelayOutcome.ANSWERED
        assert runs == [("id-1", "vm-1", "i-0")]

    @pytest.mark.parametrize("what", ["stopping", "draining", "leaving", "reborn"])
    def test_request_that_may_not_be_sent(self, what):
        # Guards against requests to targets that have left, and to a stopping VM.
        async def prepare(fleet, vm):
            if what == "stopping":
                vm.relay_server.is_stopping = True
            elif what == "draining":
                vm.view.known["i-0"].target.is_draining = True
            elif what == "leaving":
                vm.view.mark_leaving(target("i-0"))

        request = make_request(incarnation=2) if what == "reborn" else None
        reply, runs = relay(prepare, request)
        expected = (
            RelayOutcome.BUSY if what == "stopping" else RelayOutcome.TARGET_UNUSABLE
        )
        assert reply.outcome is expected
        assert runs == []

    def test_vm_that_is_cut_off_itself(self):
        # Guards against two VMs that pass a request to each other.
        async def prepare(fleet, vm):
            fleet.matrix.cut([vm.name], fleet.targets, Link.RESET)
            await fleet.play(2.0)
            fleet.runs.clear()

        reply, runs = relay(prepare)
        assert reply.outcome is RelayOutcome.CUT_OFF
        assert runs == []

    @pytest.mark.parametrize(
        ("is_confirmed", "outcome"),
        [(True, RelayOutcome.NO_LINK), (False, RelayOutcome.TARGET_DOWN)],
    )
    def test_vm_that_has_failed_to_reach_the_target_before(self, is_confirmed, outcome):
        async def prepare(fleet, vm):
            health = vm.links.health
            health.record_failure("i-0", asyncio.get_running_loop().time())
            if is_confirmed:
                health.record_reached_by_other("i-0")

        reply, runs = relay(prepare)
        assert reply.outcome is outcome
        assert runs == []

    def test_target_that_is_down(self):
        async def prepare(fleet, vm):
            await fleet.play(1.0)
            fleet.matrix.down = {"i-0"}
            fleet.runs.clear()
            vm.links.health.record_alive("i-1", asyncio.get_running_loop().time())

        reply, _ = relay(prepare)
        assert reply.outcome in (RelayOutcome.TARGET_DOWN, RelayOutcome.LOST)

    @pytest.mark.parametrize(
        ("down", "outcome"),
        [({"i-0"}, RelayOutcome.TARGET_ENDED), (set(), RelayOutcome.LOST)],
    )
    def test_target_that_closes_the_connection(self, down, outcome):
        # Guards against an end of a target that the VM which asks does not learn of.
        async def prepare(fleet, vm):
            async def close(*args):
                raise ConnectionClosed("reset")

            vm.links.send = close
            fleet.matrix.down = down

        assert relay(prepare)[0].outcome is outcome

    def test_bytes_that_are_no_message(self):
        with virtual_loop() as loop:

            async def scenario():
                vm = LinkFleet().vms["vm-1"]
                return (await vm.relay_server.handle(b"x")).status

            assert loop.run_until_complete(scenario()) == 400


class TestHop:
    """Two VMs with a connection between them."""

    def test_caller_that_leaves_ends_the_request_at_the_target(self):
        # Guards against targets that work on for callers which have left.
        ended = asyncio.Event()

        async def handle(body):
            try:
                await asyncio.sleep(30)
            except asyncio.CancelledError:
                ended.set()
                raise
            return Response(200)

        async def scenario():
            server = InternalServer({RELAY_PATH: handle}, frozenset({RELAY_PATH}))
            with socket.socket() as sock:
                sock.bind(("127.0.0.1", 0))
                address = "127.0.0.1:%d" % sock.getsockname()[1]
            server.listen(address)
            transport = RelayTransport()
            task = asyncio.create_task(transport.post(address, b"x", 5.0))
            await asyncio.sleep(0.2)
            task.cancel()
            async with asyncio.timeout(1.0):
                await ended.wait()
            transport.close()
            await server.close()

        asyncio.run(scenario())
