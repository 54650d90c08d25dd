"""Tests of VMs that the store turns away and that the publisher serves."""

from __future__ import annotations

import asyncio
import json
from random import Random
from types import SimpleNamespace

import pytest
from asking_fleet import AskingFleet
from berylstage_entry.errors import InvalidRecord
from berylstage_entry.membership import VMS_PREFIX, Membership
from berylstage_entry.store_access.check_pauses import (
    MAX_PAUSE_SECONDS,
    MIN_PAUSE_SECONDS,
    check_pause,
    has_store_returned,
)
from berylstage_entry.store_access.subscriptions import (
    FORWARDING_VMS,
    MAX_SILENCE_SECONDS,
    MAX_SUBSCRIBERS,
    SUBSCRIPTION_SECONDS,
    Subscribers,
    Subscription,
    SubscriptionClient,
    subscription_cause,
)
from berylstage_entry.store_delta import StoreDelta
from berylstage_entry.store_keys import COORDINATOR_KEY
from fakes import settings
from virtual_time import virtual_loop

# Time within which a change that the store has accepted must be in force.
IN_FORCE_SECONDS = 2.5
TURNED_AWAY_SECONDS = 9.0


class SubscribingFleet(AskingFleet):
    """Fleet with records of its VMs; the first VM publishes to the recorded ones."""

    def __init__(self, loop, vms):
        super().__init__(loop, vms)
        self.store.put(COORDINATOR_KEY, b'{"control": "10.0.0.0:1"}')
        self.memberships, self.clients = [], []
        for n, store_watcher in enumerate(self.watchers):
            cfg = settings(f"vm-{n}")
            cfg.control_address = f"10.0.0.{n}:1"
            membership = Membership(cfg, self.views[n], store_watcher)
            client = SubscriptionClient(
                cfg.vm, cfg.control_address, membership, Random(n)
            )
            client.is_coordinator = lambda n=n: n == 0
            client.coordinator_address = lambda: "10.0.0.0:1"
            client.send = lambda host, data, n=n: self.deliver(n, host, data)
            # A VM without a record is no standby while there is a coordinator.
            store_watcher.is_standby = lambda n=n: 0 < n < 3
            self.memberships.append(membership)
            self.clients.append(client)

    def deliver(self, sender, host, data):
        receiver = int(host.rpartition(".")[2])
        if not {sender, receiver} & self.partitioned:
            self.clients[receiver].receive(data)

    def tell(self, delta):
        hosts = {member.host for member in self.memberships[0].members()}
        hosts |= self.clients[0].subscriber_hosts()
        for n, store_watcher in enumerate(self.watchers):
            if not n or n in self.partitioned or f"10.0.0.{n}" not in hosts:
                continue
            for part in delta.split():
                data = part.encode()
                if data is not None:
                    self.clients[n].record_update()
                    store_watcher.apply_delta(StoreDelta.decode(data))

    def start(self):
        async def start():
            for parts in zip(
                self.watchers, self.memberships, self.clients, strict=True
            ):
                for part in parts:
                    part.start()
            await asyncio.sleep(6.0)

        self.loop.run_until_complete(start())

    def run(self, seconds):
        """Run for some seconds without other calls to the store than the VMs' own."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    def turn_away(self, indexes):
        """Let the store refuse some VMs, and revoke their leases."""
        self.cut_off(indexes, gets_updates=True)
        for n in indexes:
            self.store._drop_lease(self.memberships[n]._lease)

    def calls_of(self, n):
        calls = self.views[n]._calls = []
        return calls

    def recorded(self):
        return {key for key in self.store.items if key.startswith(VMS_PREFIX)}

    def stop(self):
        for n, store_watcher in enumerate(self.watchers):
            store_watcher.stop()
            self.clients[n].stop()
            self.memberships[n]._task.cancel()


@pytest.fixture
def make_fleet():
    fleets = []
    with virtual_loop() as loop:

        def make(vms):
            fleet = SubscribingFleet(loop, vms)
            fleets.append(fleet)
            fleet.put("a")
            fleet.put("b")
            fleet.start()
            return fleet

        yield make
        for fleet in fleets:
            fleet.stop()


class TestThirdOfTheVmsTurnedAway:
    """The store turns a third of the VMs away and revokes their leases."""

    VMS = 81

    @pytest.fixture
    def fleet(self, make_fleet):
        return make_fleet(self.VMS)

    @pytest.fixture
    def cut(self):
        return range(3, self.VMS, 3)

    def test_vms_make_few_calls(self, fleet, cut):
        # Guards against VMs without a record that ask the store again and again: they
        # made 75 to 121 calls on a bad day.
        fleet.turn_away(cut)
        calls = [fleet.calls_of(n) for n in cut]
        fleet.run(TURNED_AWAY_SECONDS)
        assert max(map(len, calls)) <= 1 + TURNED_AWAY_SECONDS / MIN_PAUSE_SECONDS

    @pytest.mark.parametrize("delay", [0.1, 0.9, 2.0, 5.0])
    def test_changes_are_in_force_in_time(self, fleet, cut, delay):
        # Guards against VMs that send requests to a target that has left, or use an old
        # configuration, because nobody publishes to VMs without a record.
        fleet.turn_away(cut)
        fleet.run(delay)
        fleet.store.put("t/a", json.dumps({"is_draining": True}).encode())
        fleet.store.put("cfg", b"2")
        fleet.run(IN_FORCE_SECONDS)
        views = [w._cluster_view for w in fleet.watchers]
        assert {v.configuration.version for v in views} == {2}
        assert not any(v.is_usable("a") for v in views)

    def test_subscription_alone_serves_the_vms(self, fleet, cut):
        # Guards against an untested subscription: the answers of the publisher, which
        # are missing here, would hide that its datagrams do not arrive.
        fleet.is_publisher_silent = True
        fleet.turn_away(cut)
        fleet.run(SUBSCRIPTION_SECONDS)
        fleet.store.put("cfg", b"2")
        fleet.run(1.0)
        assert all(fleet.watchers[n].is_kept_up_to_date() for n in cut)
        assert {w._cluster_view.configuration.version for w in fleet.watchers} == {2}

    def test_vms_are_served_throughout(self, fleet, cut):
        fleet.turn_away(cut)
        for _ in range(int(TURNED_AWAY_SECONDS / 0.3)):
            fleet.run(0.3)
            assert all(fleet.watchers[n].is_kept_up_to_date() for n in cut)

    def test_vms_register_again_when_the_store_is_back(self, fleet, cut):
        fleet.turn_away(cut)
        fleet.run(TURNED_AWAY_SECONDS)
        fleet.heal()
        fleet.run(MAX_PAUSE_SECONDS + 1.0)
        assert len(fleet.recorded()) == self.VMS
        assert all(w.is_up_to_date() for w in fleet.watchers)
        fleet.run(SUBSCRIPTION_SECONDS + 1.0)
        assert fleet.clients[0].subscriber_addresses() == set()


class TestOutage:
    def test_return_of_the_store_is_learned_from_the_publisher(self, make_fleet):
        # Guards against pauses of 9 s after an outage that the publisher shared.
        fleet = make_fleet(81)
        fleet.store.is_unreachable = True
        fleet.run(15.0)
        fleet.store.is_unreachable = False
        fleet.run(6.5)
        assert all(m.is_registered for m in fleet.memberships)

    def test_vm_cut_off_from_publisher_and_store_catches_up(self, make_fleet):
        # The subscriber loses both. Guards against a VM that considers its view recent,
        # or stays silent after the cut.
        fleet = make_fleet(9)
        fleet.turn_away([7])
        fleet.run(2.0)
        fleet.partitioned.add(7)
        fleet.run(5.0)
        assert not fleet.watchers[7].is_kept_up_to_date()
        fleet.store.put("cfg", b"2")
        fleet.partitioned.clear()
        fleet.run(IN_FORCE_SECONDS)
        assert fleet.watchers[7]._cluster_view.configuration.version == 2

    def test_loss_of_the_publisher_lets_a_served_vm_read_again(self, make_fleet):
        # Guards against a VM that waits for the publisher with long pauses although
        # the publisher has stopped.
        fleet = make_fleet(9)
        fleet.turn_away([7])
        fleet.run(8.0)
        fleet.watchers[0].stop()
        fleet.is_publisher_silent = True
        fleet.run(1.5)
        calls = fleet.calls_of(7)
        fleet.run(2.0)
        assert len(calls) >= 3
        fleet.heal()
        fleet.run(1.0)
        assert fleet.watchers[7].is_up_to_date()


class TestPauses:
    def test_pauses_grow_to_the_limit(self):
        pauses = [check_pause(n) for n in (1, 2, 3, 4, 100_000)]
        assert pauses == [3.0, 4.5, 6.75, MAX_PAUSE_SECONDS, MAX_PAUSE_SECONDS]

    def test_return_of_the_store_is_told_from_a_cut_of_this_vm(self):
        assert has_store_returned(10.0, 0.5)
        assert not has_store_returned(10.0, 60.0)


class TestSubscribers:
    def test_subscription_ends_without_renewal(self):
        # Guards against datagrams for hours to a VM that has ended.
        subscribers = Subscribers()
        assert subscribers.renew("10.0.0.1:1", 0.0)
        assert not subscribers.renew("10.0.0.1:1", 1.0)
        assert subscribers.addresses(SUBSCRIPTION_SECONDS + 0.9) == {"10.0.0.1:1"}
        assert subscribers.addresses(SUBSCRIPTION_SECONDS + 1.0) == set()

    def test_number_is_bounded(self):
        subscribers = Subscribers()
        for n in range(2 * MAX_SUBSCRIBERS):
            subscribers.renew(f"vm-{n}:1", 0.0)
        assert len(subscribers.addresses(1.0)) == MAX_SUBSCRIBERS

    def test_message_survives_encoding(self):
        message = Subscription.decode(Subscription("10.0.0.1:1", True).encode())
        assert (message.host, message.forwarded) == ("10.0.0.1", True)
        for data in (b"\x24", b"\x24[]", b'\x24["x", 0]', b"\x24\xff"):
            with pytest.raises(InvalidRecord):
                Subscription.decode(data)

    @pytest.mark.parametrize(
        ("state", "cause"),
        [
            ((True, True, 0.4), ""),
            ((True, False, 0.4), "no record"),
            ((False, True, 0.4), "lease not renewed"),
            ((True, True, MAX_SILENCE_SECONDS + 0.1), "no updates"),
        ],
    )
    def test_cause(self, state, cause):
        assert subscription_cause(*state) == cause


class TestForwarding:
    def make_client(self, sent, coordinator="10.0.0.9:1"):
        members = [SimpleNamespace(host=f"10.0.0.{n}") for n in range(5)]
        membership = SimpleNamespace(
            is_registered=False, names=lambda: [], members=lambda: members
        )
        client = SubscriptionClient("vm-1", "10.0.0.1:1", membership, Random(1))
        client.coordinator_address = lambda: coordinator
        client.send = lambda host, data: sent.append((host, Subscription.decode(data)))
        return client

    def test_vm_without_updates_asks_others_to_forward(self):
        # The coordinator has changed while this VM was cut off. Guards against a VM
        # that subscribes with a former coordinator for ever.
        with virtual_loop() as loop:
            sent = []
            client = self.make_client(sent)

            async def scenario():
                client.start()
                await asyncio.sleep(3.6)
                client.stop()

            loop.run_until_complete(scenario())
        hosts = [host for host, _ in sent]
        # Once a second from 0.25 s on, and to others once it was silent for 2 s.
        assert hosts.count("10.0.0.9") == 4
        assert len(sent) == 4 + 2 * FORWARDING_VMS
        assert "10.0.0.1" not in hosts

    def test_subscription_is_passed_on_once(self):
        # Guards against datagrams that circle between two former coordinators.
        sent = []
        client = self.make_client(sent)
        client.receive(Subscription("10.0.0.5:1").encode())
        client.receive(Subscription("10.0.0.6:1", forwarded=True).encode())
        client.receive(Subscription("10.0.0.1:1").encode())
        assert [(h, s.control_address, s.forwarded) for h, s in sent] == [
            ("10.0.0.9", "10.0.0.5:1", True)
        ]
        assert client.subscriber_addresses() == set()
