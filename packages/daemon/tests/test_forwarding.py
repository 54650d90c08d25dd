"""Tests of requests passed between VMs, over real connections."""

from __future__ import annotations

import asyncio
import socket
from contextlib import nullcontext
from types import SimpleNamespace

import pytest
from berylstage_daemon.answers import Answer, Outcome, not_run
from berylstage_daemon.forwarding import PeerService, forward
from berylstage_daemon.peers import PeerLink, PeerLinks
from berylstage_messages.peer_grpc import PeerBase
from berylstage_messages.peer_pb2 import ANSWERED, ForwardAnswer
from berylstage_sheet.configuration import (
    Configuration,
    Kind,
    Ownership,
    RequestClass,
    Service,
)
from grpclib.server import Server

HOST = "127.0.0.1"


class FakeLeaders:
    """Ends each request as the test says."""

    def __init__(self):
        self.end = asyncio.Future()
        self.served = []
        self.cancelled = 0

    async def serve(self, req, target):
        self.served.append(req)
        try:
            return await asyncio.shield(self.end)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise


class WrongPeer(PeerBase):
    """A faulty VM that gives a fixed answer."""

    def __init__(self, reply):
        self.reply = reply

    async def Exchange(self, stream):
        raise NotImplementedError

    async def Forward(self, stream):
        await stream.recv_message()
        await stream.send_message(self.reply)


class Pair:
    """The link of one VM to another one in the same process."""

    def __init__(self, service=None):
        self.repeatable = True
        self.leaders = FakeLeaders()
        app = SimpleNamespace(
            leaders=self.leaders, configuration=self.sheet, working=nullcontext
        )
        self.server = Server([service or PeerService(app)])
        self.link = None

    def sheet(self):
        """Return the sheet of the VM that leads."""
        kind = Kind("visit", RequestClass.INTERACTIVE, self.repeatable, 2000)
        service = Service("field-log", "saryarka", Ownership.OWNED, 8, {"visit": kind})
        return Configuration(1, {"field-log": service}, {}, {}, {}, [])

    async def __aenter__(self):
        sock = socket.socket()
        sock.bind((HOST, 0))
        sock.listen()
        await self.server.start(sock=sock)
        self.link = PeerLink("{}:{}".format(HOST, sock.getsockname()[1]))
        return self

    async def __aexit__(self, *exc):
        self.link.close()
        self.server.close()
        await self.server.wait_closed()


async def until(condition):
    """Wait until something has happened."""
    async with asyncio.timeout(10.0):
        while not condition():
            await asyncio.sleep(0.005)


class TestForward:
    def test_answer_comes_back_whole(self, make_rig):
        async def play():
            async with Pair() as pair:
                body = b"x" * 900_000
                pair.leaders.end.set_result(Answer(Outcome.ANSWERED, 201, body=body))
                return await forward(pair.link, make_rig().request(), "")

        answer = asyncio.run(play())
        assert (answer.outcome, answer.status) == (Outcome.ANSWERED, 201)
        assert len(answer.body) == 900_000

    def test_when_to_come_back_is_never_lost(self, make_rig):
        # The VM that leads turns a request away for less than a millisecond. Without
        # a time to come back the caller would return at once, in a tight loop.
        async def play():
            async with Pair() as pair:
                pair.leaders.end.set_result(not_run("queue-full", 0.0004))
                return await forward(pair.link, make_rig().request(), "")

        assert asyncio.run(play()).retry_after > 0

    def test_caller_that_goes_away_is_cancelled_over_both_vms(self, make_rig):
        # A technician closes the app while another VM works on the request. Unless
        # that VM hears of it, the target works for nobody.
        async def play():
            async with Pair() as pair:
                req = make_rig().request()
                task = asyncio.ensure_future(forward(pair.link, req, ""))
                await until(lambda: pair.leaders.served)
                task.cancel()
                await until(lambda: pair.leaders.cancelled)

        asyncio.run(play())

    def test_deadline_ends_it_at_both_vms(self, make_rig):
        async def play():
            async with Pair() as pair:
                req = make_rig().request(seconds=0.1)
                answer = await forward(pair.link, req, "")
                await until(lambda: pair.leaders.cancelled)
                return answer

        assert asyncio.run(play()).outcome is Outcome.UNKNOWN

    def test_dead_vm_was_certainly_not_reached(self, make_rig):
        # A VM is lost, and nobody listens at its address any more. Called unknown, a
        # parts order that never left would have to be looked up by hand.
        async def play():
            async with Pair() as pair:
                pass
            req = make_rig().request(repeatable=False)
            return await forward(PeerLink(pair.link.address), req, "")

        answer = asyncio.run(play())
        assert answer.outcome is Outcome.NOT_RUN
        assert answer.reason == "leader-unreachable"

    @pytest.mark.parametrize(
        "reply",
        [
            ForwardAnswer(request_id="other", outcome=ANSWERED, status=200),
            ForwardAnswer(request_id="r", outcome=ANSWERED),
            ForwardAnswer(request_id="r", status=200),
            ForwardAnswer(),
        ],
    )
    def test_faulty_answer_never_reaches_the_caller(self, make_rig, reply):
        # Another VM, of another version or with a fault, answers for another request
        # or leaves out what became of it.
        async def play():
            async with Pair(WrongPeer(reply)) as pair:
                return await forward(pair.link, make_rig().request("r"), "")

        answer = asyncio.run(play())
        assert answer.outcome is Outcome.UNKNOWN
        assert answer.status == 502


class TestSheetsThatDiffer:
    def test_work_without_a_key_is_not_let_in(self, make_rig):
        # A new sheet says that a kind may not be repeated, and only the VM that leads
        # has it yet. Requests without a key of their own would all count as repeats
        # of one another, and callers would get each other's answers.
        async def play():
            async with Pair() as pair:
                pair.repeatable = False
                return await forward(pair.link, make_rig().request(), ""), pair

        answer, pair = asyncio.run(play())
        assert answer.outcome is Outcome.NOT_RUN
        assert not pair.leaders.served

    def test_fault_of_the_other_vm_is_not_called_not_run(self, make_rig):
        # The VM that leads runs into an error that nobody foresaw, perhaps after it
        # sent the request.
        async def play():
            async with Pair() as pair:
                pair.leaders.end.set_exception(KeyError("field-log-01"))
                return await forward(pair.link, make_rig().request(), "")

        assert asyncio.run(play()).outcome is Outcome.UNKNOWN


class TestConnections:
    def test_call_in_flight_outlives_its_retired_connection(self, make_rig):
        # Two heartbeats are lost while a peer pauses, and the connection to it is
        # replaced. Long work that it was passed before must still get its answer.
        async def play():
            async with Pair() as pair:
                task = asyncio.ensure_future(
                    forward(pair.link, make_rig().request(), "")
                )
                await until(lambda: pair.leaders.served)
                old = pair.link._connection
                for _ in range(2):
                    pair.link._count_loss(old)
                replaced = pair.link._connection is not old
                pair.leaders.end.set_result(Answer(Outcome.ANSWERED, 200))
                return await task, replaced, old.channel._connected

        answer, replaced, connected = asyncio.run(play())
        assert answer.outcome is Outcome.ANSWERED
        assert replaced
        assert not connected

    def test_answer_of_a_vm_that_left_still_comes(self, make_rig):
        # A VM shuts down gracefully and leaves the assignment while the answer to a
        # request that it was passed is under way. The answer must not be cut.
        async def play():
            async with Pair() as pair:
                links = PeerLinks("almaty-a-1")
                link = links.link(pair.link.address)
                task = asyncio.ensure_future(forward(link, make_rig().request(), ""))
                await until(lambda: pair.leaders.served)
                links.keep_only(set())
                pair.leaders.end.set_result(Answer(Outcome.ANSWERED, 200))
                return await task

        assert asyncio.run(play()).outcome is Outcome.ANSWERED

    def test_silent_connection_is_given_up_before_the_deadline(self, make_rig):
        # Something between two VMs has lost track of their connection: it stays open
        # and nothing comes through. Unnoticed, each request on it would wait for its
        # whole deadline, and the next one as well.
        async def play():
            held = []
            silent = await asyncio.start_server(
                lambda reader, writer: held.append(writer), HOST, 0
            )
            port = silent.sockets[0].getsockname()[1]
            link = PeerLink(f"{HOST}:{port}")
            async with asyncio.timeout(20.0):
                answer = await forward(link, make_rig().request(seconds=60.0), "")
            link.close()
            for writer in held:
                writer.close()
            silent.close()
            return answer

        answer = asyncio.run(play())
        assert answer.outcome is Outcome.UNKNOWN
        assert answer.reason == "leader-lost"
