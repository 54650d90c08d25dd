"""Tests of the permit server's choice of targets by connections."""

from __future__ import annotations

import asyncio
import itertools
from random import Random

import logbook
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.membership import Member
from berylstage_entry.metrics import Metrics
from berylstage_entry.permit_messages import PermitRelease, PermitRequest, checksum
from berylstage_entry.permit_server import CHOICE_LOG_SECONDS, PermitServer
from berylstage_entry.protocols import Record
from berylstage_entry.router import Router
from berylstage_entry.routes import Route, WeightedService
from berylstage_entry.services import Configuration
from berylstage_entry.target_clients import TargetClients
from berylstage_entry.targets import LoadReport
from fakes import BOUNDS, LIMITS, configuration, target
from virtual_time import virtual_loop

TARGETS = [f"t{n}" for n in range(20)]
HOSTS = [f"10.0.0.{n}" for n in range(40)]


class Members:
    """Forty VMs in two data centres."""

    revision = 1

    def members(self):
        return [
            Member(host, f"{host}:1", f"dc-{n % 2}", 1.0)
            for n, host in enumerate(HOSTS)
        ]


class Server:
    """A permit server, with the replies that it has sent."""

    def __init__(self, owns_keys=False, targets=TARGETS, slots=2):
        self.view = ClusterView()
        self.view.apply(
            Record(configuration=configuration(owns_keys=owns_keys)), 0.0, False
        )
        for n, name in enumerate(targets):
            record = target(name, data_centre=f"dc-{n % 2}", slots=slots)
            self.view.apply(Record(target=record), 0.0, False)
        router = Router(self.view, None, TargetClients(None), BOUNDS, Random(1))
        self.server = PermitServer(router.loads, self.view, Members())
        self.server.metrics = Metrics()
        self.server.send = lambda host, reply: self.replies.append(reply)
        self.replies = []
        self.number = 0

    def serve(self, host):
        """Grant a permit and release it with an answer; return the target."""
        self.number += 1
        ask = PermitRequest(self.number, checksum("s"), checksum("r"), 0.5, 0.5, 1.0, 1)
        self.server.handle_request(ask, host)
        chosen = self.replies[-1].target
        release = PermitRelease(
            self.number, checksum("s"), chosen, False, LoadReport(0, 0, 2, 1.0)
        )
        self.server.handle_release(release, host)
        return self.view.target_name(chosen)


def run(scenario, seconds):
    """Run a function at intervals of 0.02 s of virtual time."""
    with virtual_loop() as loop:

        async def play():
            for _ in range(round(seconds / 0.02)):
                scenario()
                await asyncio.sleep(0.02)

        return loop.run_until_complete(play())


class TestServiceWithoutKeys:
    def test_vms_keep_to_few_targets_and_choices_are_counted(self):
        # Forty VMs send 50 requests a second to 20 targets: each pair would be used
        # once in 16 s, on a new connection each time.
        server, rng, used = Server(), Random(2), {}

        def step():
            host = rng.choice(HOSTS)
            used.setdefault(host, set()).add(server.serve(host))

        with logbook.TestHandler() as lines:
            run(step, CHOICE_LOG_SECONDS + 20.0)
        # A VM sends 37 requests, to far fewer targets.
        assert sum(map(len, used.values())) / len(used) < 10
        text = server.server.metrics.text()
        counts = {
            kind: int(text.split(f'permits by connection: {kind}"}} ')[1].split()[0])
            for kind in ("connected", "subset")
        }
        assert counts["connected"] > 5 * counts["subset"]
        told = [r for r in lines.records if "by connections" in r.message]
        assert len(told) == 2
        assert told[-1].extra["vms"] == len(HOSTS)

    def test_queue_that_is_lost_is_replaced_by_one_with_the_same_subsets(self):
        # The permit server is killed. The next one knows no connections, and must send
        # each VM's requests to the targets that it is connected to.
        first, second, rng = Server(), Server(), Random(3)
        run(lambda: first.serve(rng.choice(HOSTS)), 20.0)
        run(lambda: second.serve(rng.choice(HOSTS)), 20.0)

        def subsets(server):
            affinity = server.server._choices["s"].affinity
            return [
                affinity.subset(host, f"dc-{n % 2}", 0.0)[:3]
                for n, host in enumerate(HOSTS)
            ]

        assert subsets(first) == subsets(second)


class TestKinds:
    def test_slots_kept_for_urgent_requests_are_counted_and_logged(self):
        # Urgent requests that arrive every 0.02 s, and long ones that are queued beside
        # them for the last slots.
        server = Server(targets=TARGETS[:2])
        view = server.view
        cfg = configuration(version=2, owns_keys=False)
        long = Route(
            "long", "h", "/b/", [WeightedService("s", 1.0)], True, 2, 9.0, 3.0, 2
        )
        cfg = Configuration(2, [*cfg.routes, long], list(cfg.services.values()), LIMITS)
        view.apply(Record(configuration=cfg), 1.0, False)
        loads = server.server._loads.for_service("s")
        for name in TARGETS[:2]:
            loads.load(name, 2)
        for _ in range(200):
            loads.record_service_time(TARGETS[0], "r", 0.05)
            loads.record_service_time(TARGETS[0], "long", 0.5)
        numbers = itertools.count(10_000)

        def step():
            server.serve(HOSTS[0])
            number = next(numbers)
            if number % 10 == 0:
                ask = PermitRequest(
                    number, checksum("s"), checksum("long"), 3.0, 3.0, 9.0, 2
                )
                server.server.handle_request(ask, HOSTS[1])

        with logbook.TestHandler() as lines:
            run(step, CHOICE_LOG_SECONDS + 2.0)
        assert 'slots by kind: kept"}' in server.server.metrics.text()
        assert [r for r in lines.records if r.message == "slots kept for urgent kinds"]


class TestOtherQueues:
    def test_service_that_owns_keys_is_served_as_before(self):
        server = Server(owns_keys=True)
        run(lambda: server.serve(HOSTS[0]), 1.0)
        assert server.server._choices == {}

    def test_few_pairs_are_served_as_before(self):
        # Three VMs and four targets, 50 requests a second: all pairs stay connected.
        server, rng = Server(targets=TARGETS[:4]), Random(4)
        with logbook.TestHandler() as lines:
            run(lambda: server.serve(rng.choice(HOSTS[:3])), CHOICE_LOG_SECONDS + 5.0)
        assert "permits by connection" not in server.server.metrics.text()
        assert not [r for r in lines.records if "by connections" in r.message]

    def test_removed_service_is_forgotten(self):
        server = Server()
        run(lambda: server.serve(HOSTS[0]), 0.1)
        assert server.server._choices
        cfg = configuration(version=2)
        cfg.services.clear()
        server.view.apply(Record(configuration=cfg), 1.0, False)
        server.server._refresh_names()
        assert server.server._choices == {}
