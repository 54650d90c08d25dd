"""Tests of asking for turns at targets, and of keeping queues for that."""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from berylstage_entry.clock import now
from berylstage_entry.directory import Directory
from berylstage_entry.errors import TurnRefused, UnreadableRecord
from berylstage_entry.journey import Journey
from berylstage_entry.membership import Member
from berylstage_entry.queue_keeper import QueueKeeper
from berylstage_entry.router import Router
from berylstage_entry.senders import Senders
from berylstage_entry.targets import LoadReport
from berylstage_entry.turn_messages import Ask, Reply, Return, checksum
from berylstage_entry.turns import (
    MAX_ATTEMPTS,
    MAX_REPLY_TIMEOUT_SECONDS,
    MIN_REPLY_TIMEOUT_SECONDS,
    ReplyTimeout,
    Turns,
)
from berylstage_entry.wire import CallerRequest, Record
from berylstage_policy.keepers import SERVER_BACKOFF_SECONDS
from fakes import BOUNDS, configuration, target
from virtual_time import virtual_loop

HOSTS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")


class Members:
    """Three VMs of one data centre."""

    revision = 1

    def members(self):
        return [Member(f"vm-{h}", f"{h}:1", "dc-1", 1.0) for h in HOSTS]


class Network:
    """Carries datagrams between VMs, and loses those that it is told to lose."""

    def __init__(self):
        self.vms = {}
        self.lost_hosts = set()
        # Datagrams to lose of those that come next.
        self.losing = 0
        # Seconds that a datagram takes.
        self.delay = 0.0005

    def carry(self, own, host, data):
        if self.losing:
            self.losing -= 1
            return
        if host in self.lost_hosts:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(self.delay, self.vms[host].receive, own, data)


class Vm:
    """What asks for turns and keeps queues on one VM."""

    def __init__(self, host, network):
        self.host = host
        directory = Directory()
        directory.apply(Record(configuration=configuration()), 0.0, False)
        directory.apply(Record(target=target("a")), 0.0, False)
        router = Router(directory, None, Senders(None), BOUNDS, Random(1))
        self.server = QueueKeeper(router.loads, directory, Members())
        self.turns = Turns(Members(), host)
        self.turns.ask = self.turns.give_back = self.server.send = lambda to, word: (
            network.carry(host, to, word.encode())
        )
        network.vms[host] = self

    def receive(self, host, data):
        reads = {
            20: self.server.take_ask,
            21: self.turns.take_reply,
            22: self.server.take_return,
        }
        reads[data[0]](data, host)

    async def take(self, time_left=1.0):
        req = CallerRequest("1", "GET", "h", "/a/", {}, time_left, 5)
        cfg = configuration()
        route, service = cfg.routes[0], cfg.services["s"]
        moment = now()
        journey = Journey(
            req, route, service, moment + time_left, moment + route.objective
        )
        return await self.turns.take(journey, "a", "dc-1")


@pytest.fixture
def played():
    """Return what plays a coroutine over three VMs in virtual time."""

    def play(step):
        with virtual_loop() as loop:

            async def all_of_it():
                network = Network()
                vms = [Vm(host, network) for host in HOSTS]
                for vm in vms:
                    vm.server.start()
                try:
                    return await step(network, vms)
                finally:
                    for vm in vms:
                        vm.server.stop()

            return loop.run_until_complete(all_of_it())

    return play


def keeper_of(vms):
    return vms[0].turns._servers_for("a", "dc-1")


class TestTurns:
    def test_all_vms_together_send_no_more_than_there_are_slots(self, played):
        # Three VMs get two requests each for a target with two slots at the same
        # moment. Each of them would see two free slots.
        async def step(network, vms):
            tasks = [asyncio.create_task(vm.take()) for vm in vms for _ in range(2)]
            await asyncio.sleep(0.01)
            assert sum(task.done() for task in tasks) == 2
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        played(step)

    def test_request_goes_when_another_is_done(self, played):
        async def step(network, vms):
            first, second = [await vms[0].take() for _ in range(2)]
            waiting = asyncio.create_task(vms[1].take())
            await asyncio.sleep(0.05)
            assert not waiting.done()
            vms[0].turns.done(first, False, LoadReport(1, 0, 2, 1.0))
            await asyncio.sleep(0.005)
            assert waiting.result().server == second.server

        played(step)

    def test_request_without_a_chance_is_refused_at_once(self, played):
        # A hundred requests for two slots within a moment. The caller of the last one
        # is told when there will be room; it does not wait out its time.
        async def step(network, vms):
            tasks = [asyncio.create_task(vms[1].take()) for _ in range(40)]
            await asyncio.sleep(0.01)
            began = now()
            with pytest.raises(TurnRefused) as caught:
                await vms[2].take()
            assert now() - began < 0.03
            assert caught.value.retry_after > 0
            # What finds the decision in the keeper's log.
            server = keeper_of(vms)[0]
            assert caught.value.turn.startswith(f"queue a keeper {server} number ")
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        played(step)

    def test_lost_keeper_does_not_hold_requests_up(self, played):
        # The VM that keeps the queue is killed. The next one takes its place, and when
        # that is lost too the request goes by what its own VM knows.
        async def step(network, vms):
            first, second = keeper_of(vms)
            asks = next(vm for vm in vms if vm.host not in (first, second))
            network.lost_hosts.add(first)
            began = now()
            assert (await asks.take()).server == second
            assert now() - began < (MAX_ATTEMPTS + 1) * MIN_REPLY_TIMEOUT_SECONDS
            began = now()
            assert (await asks.take()).server == second
            assert now() - began < MIN_REPLY_TIMEOUT_SECONDS
            network.lost_hosts.add(second)
            assert await asks.take() is None
            began = now()
            assert await asks.take() is None
            assert now() == began

        played(step)

    def test_keeper_that_is_back_is_asked_again(self, played):
        async def step(network, vms):
            first, second = keeper_of(vms)
            asks = next(vm for vm in vms if vm.host not in (first, second))
            network.lost_hosts.add(first)
            await asks.take()
            network.lost_hosts.clear()
            await asyncio.sleep(SERVER_BACKOFF_SECONDS + 0.1)
            assert (await asks.take()).server == first

        played(step)

    @pytest.mark.parametrize("lost", [1, 2])
    def test_lost_datagram_costs_milliseconds(self, played, lost):
        async def step(network, vms):
            first, second = keeper_of(vms)
            asks = next(vm for vm in vms if vm.host not in (first, second))
            network.losing = lost
            began = now()
            assert (await asks.take()).server == first
            assert now() - began < (lost + 1) * MIN_REPLY_TIMEOUT_SECONDS

        played(step)

    def test_turn_of_a_caller_that_left_is_given_back(self, played):
        # A caller closes its connection while its request waits. Its place must not
        # keep a slot from others.
        async def step(network, vms):
            turns = [await vms[0].take() for _ in range(2)]
            left = asyncio.create_task(vms[1].take())
            await asyncio.sleep(0.01)
            stays = asyncio.create_task(vms[2].take())
            await asyncio.sleep(0.01)
            left.cancel()
            await asyncio.sleep(0.01)
            vms[0].turns.done(turns[0])
            await asyncio.sleep(0.01)
            assert stays.done()

        played(step)


class TestKeeperThatStops:
    """A VM that keeps a queue stops, with requests of others in the queue."""

    def test_request_that_waits_goes_to_the_next_keeper_at_once(self, played):
        # Guards against requests that run into their deadlines, or are refused, while
        # they ask a VM that has ended.
        async def step(network, vms):
            first, second = keeper_of(vms)
            asking = next(vm for vm in vms if vm.host not in (first, second))
            for _ in range(2):
                await asking.take()
            waiting = asyncio.create_task(asking.take(0.3))
            await asyncio.sleep(0.15)
            assert not waiting.done()
            next(vm for vm in vms if vm.host == first).server.stop()
            network.lost_hosts.add(first)
            began = now()
            assert (await waiting).server == second
            assert now() - began < MIN_REPLY_TIMEOUT_SECONDS

        played(step)

    def test_queue_is_empty_afterwards(self, played):
        # Guards against a keeper that gives out turns after it has sent all away.
        async def step(network, vms):
            first, second = keeper_of(vms)
            keeping = next(vm for vm in vms if vm.host == first)
            asking = next(vm for vm in vms if vm.host not in (first, second))
            turns = [await asking.take() for _ in range(2)]
            waiting = asyncio.create_task(asking.take())
            await asyncio.sleep(0.05)
            keeping.server.stop()
            await asyncio.sleep(0.01)
            for turn in turns:
                asking.turns.done(turn)
            await asyncio.sleep(0.01)
            assert waiting.result().server == second

        played(step)


class TestSlowLink:
    def test_keeper_behind_a_slow_link_is_waited_for(self, played):
        # Replies wait behind downloads on a small link, for longer than any reply was
        # waited for. Since none came in time, none was learned from, and each request
        # went without a turn after asking three times.
        async def step(network, vms):
            network.delay = 0.05
            first = keeper_of(vms)[0]
            asking = next(vm for vm in vms if vm.host not in keeper_of(vms))
            for _ in range(3):
                turn = await asking.take()
                if turn is not None:
                    asking.turns.done(turn)
                await asyncio.sleep(2 * SERVER_BACKOFF_SECONDS)
            turn = await asking.take()
            assert turn is not None
            assert turn.server == first

        played(step)

    def test_late_reply_of_a_keeper_shows_that_it_lives(self, played):
        async def step(network, vms):
            asking = next(vm for vm in vms if vm.host not in keeper_of(vms))
            network.delay = 0.3
            assert await asking.take(3.0) is None
            await asyncio.sleep(0.6)
            network.delay = 0.0005
            turn = await asking.take()
            assert turn.server == keeper_of(vms)[0]

        played(step)


class TestReplyTimes:
    def test_quick_keepers_are_given_up_soon(self):
        times = ReplyTimeout()
        for _ in range(50):
            times.record(0.001)
        assert times.timeout == MIN_REPLY_TIMEOUT_SECONDS

    def test_replies_that_wait_behind_large_answers_are_waited_for(self):
        # A VM with a link of 10 Mbit/s that passes answers of 90 kB on. Each of its 100
        # keepers counted as lost some times a minute, and requests went without turns.
        times = ReplyTimeout()
        for n in range(50):
            times.record(0.002 if n % 3 else 0.07)
        assert times.timeout > 0.07

    def test_lost_keeper_is_given_up_all_the_same(self):
        times = ReplyTimeout()
        for _ in range(50):
            times.record(3.0)
        assert times.timeout == MAX_REPLY_TIMEOUT_SECONDS


class TestMessages:
    def test_say_what_they_said(self):
        ask = Ask.decode(Ask(7, 1, 2, -0.25, 0.3, 0.8, 1).encode())
        assert (ask.number, ask.queue, ask.kind, ask.priority) == (7, 1, 2, 1)
        assert (ask.wanted, ask.objective, ask.deadline) == (-0.25, 0.3, 0.8)
        reply = Reply.decode(Reply(7, 3, 0.125, 9).encode())
        assert (reply.number, reply.status) == (7, 3)
        assert (reply.retry_after, reply.target) == (0.125, 9)
        back = Return.decode(
            Return(7, 1, checksum("a"), True, LoadReport(3, 0, 2, 1.6)).encode()
        )
        assert (back.target, back.failed) == (checksum("a"), True)
        assert (back.load.running, back.load.pace) == (3, 1.6)
        assert Return.decode(Return(7, 1).encode()).load is None

    def test_far_off_times_are_kept_within_what_fits(self):
        ask = Ask.decode(Ask(1, 1, 2, 900.0, 900.0, 900.0, 999).encode())
        assert 30 < ask.wanted < 40
        assert ask.deadline == 65.535

    @pytest.mark.parametrize("message", [Ask, Reply, Return])
    @pytest.mark.parametrize("data", [b"", b"\x14", b"\x15abc", b"\x16" * 99])
    def test_damaged_datagram_is_an_error(self, message, data):
        with pytest.raises(UnreadableRecord):
            message.decode(data)

    def test_damaged_datagram_is_passed_over(self, played):
        async def step(network, vms):
            for kind in (20, 21, 22):
                vms[0].receive("10.0.0.9", bytes([kind]) + b"abc")

        played(step)


class Fleet:
    """Large VMs that keep queues, and many small ones that come and go."""

    def __init__(self):
        self.revision = 1
        self.known = [
            Member(f"large-{n}", f"10.0.0.{n}:1", "dc-1", 1.0) for n in range(3)
        ]

    def members(self):
        return self.known

    def come(self, name, power):
        self.revision += 1
        self.known = [*self.known, Member(name, "10.0.1.1:1", "dc-1", power)]

    def lose(self, name):
        self.revision += 1
        self.known = [member for member in self.known if member.name != name]


class TestWhoKeepsQueues:
    def test_small_vms_that_come_and_go_change_nothing(self):
        # Half of 195 VMs are killed and start again. Who keeps the queue before each of
        # 360 targets was worked out anew at each of 200 changes, on all VMs, and
        # requests waited for it.
        fleet = Fleet()
        turns = Turns(fleet, "10.0.0.1")
        before, first = turns.revision, turns._servers_for("a", "dc-1")
        fleet.come("small", 0.2)
        assert turns.revision == before
        assert turns._servers_for("a", "dc-1") is first
        fleet.lose("small")
        assert turns.revision == before

    def test_queues_of_a_lost_keeper_go_to_another(self):
        fleet = Fleet()
        turns = Turns(fleet, "10.0.0.1")
        before, first = turns.revision, turns._servers_for("a", "dc-1")[0]
        fleet.lose(next(m.name for m in fleet.known if m.host == first))
        assert turns.revision > before
        assert turns._servers_for("a", "dc-1")[0] != first

    def test_larger_vm_takes_queues_over(self):
        fleet = Fleet()
        turns = Turns(fleet, "10.0.0.1")
        before = turns.revision
        fleet.come("larger", 1.0)
        assert turns.revision > before
        kept = {turns._servers_for(f"t{n}", "dc-1")[0] for n in range(50)}
        assert "10.0.1.1" in kept

    def test_data_centre_without_a_vm_has_its_queues_kept_elsewhere(self):
        turns = Turns(Fleet(), "10.0.0.1")
        assert len(turns._servers_for("a", "dc-9")) == 2
