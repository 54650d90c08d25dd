"""VMs that send to one target, which names limits, in virtual time."""

from __future__ import annotations

import asyncio
from random import Random

from berylstage_entry.clock import now
from berylstage_entry.errors import Refused
from berylstage_entry.notice_messages import LIMIT_NOTICE_TYPE
from berylstage_entry.protocols import Record
from berylstage_entry.quota_messages import TARGET_TOKEN_REQUEST_TYPE
from berylstage_entry.target_limits import TargetLimits
from berylstage_entry.targets import TargetNotice
from fakes import target
from quota_fleet import QuotaFleet, QuotaVm

# The target's rule: the window over which it counts, what it tolerates in it, the time
# for which a limit settles, and the time in which a VM that was told must act.
WINDOW_SECONDS = 4.0
TOLERANCE = 1.5
SLACK = 5
SETTLING_SECONDS = 3.0
REACTION_SECONDS = 0.5


class LimitVm(QuotaVm):
    """One process of a VM that sends to the target."""

    def __init__(self, fleet, host):
        super().__init__(fleet, host)
        self.limits = TargetLimits(fleet.view)
        self.limits.vm_count = fleet.vms
        self.limits.send = self._send_to_all
        self.limits.on_end = self.client.forget
        self.client.has_target_limits = self.limits.has_any

    def _send_to_all(self, data):
        for host in self._fleet.hosts:
            if host != self.host:
                self._send(host, data)

    def receive(self, data, sender):
        if data[0] == LIMIT_NOTICE_TYPE:
            self.limits.receive_notice(data, sender)
        elif data[0] == TARGET_TOKEN_REQUEST_TYPE:
            self.server.receive_target_request(data, sender)
        else:
            super().receive(data, sender)


class LimitFleet(QuotaFleet):
    """VMs, and a target that names a limit in its answers.

    Parameters
    ----------
    loop : VirtualLoop
    vms : int
    """

    vm_class = LimitVm

    def __init__(self, loop, vms=11):
        super().__init__(loop, rate=0.0, vms=vms)
        self.target = target("a")
        self.view.apply(Record(target=self.target), now(), False)
        self.work_rng = Random(9)
        # Limit that the target names; None for no limit.
        self.limit = None
        self.lost_answer_share = 0.0
        # Seconds until an answer arrives, at the least and at most.
        self.answer_seconds = (0.02, 0.3)
        self.arrivals = []
        self.refusals = []
        # When each VM's present process first passed on an answer with the limit.
        self.told = {}
        self.named_at = float("inf")
        # Until when each VM is excused from a limit that was named before.
        self.excused_until = {}
        # Datagrams that wait for VMs that are suspended.
        self.suspended = {}

    def set_limit(self, limit):
        self.limit = limit
        self.named_at = now() if limit is not None else float("inf")
        self.told.clear()
        self.arrivals.clear()

    def kill(self, host):
        super().kill(host)
        self.excused_until[host] = now()

    def cut_off(self, hosts, part):
        """Move VMs to a part of the network."""
        for host in hosts:
            self.part_of[host] = part
            self.excused_until[host] = float("inf") if part else now()

    def suspend(self, host):
        """Suspend a VM: it gets no datagrams and sends no requests until it resumes."""
        self.suspended.setdefault(host, [])

    def resume(self, host):
        """Resume a VM, which then gets the datagrams that have waited."""
        waiting = self.suspended.pop(host, [])
        self.excused_until[host] = now()
        for sender, data in waiting:
            self._deliver(sender, host, data)

    def _deliver(self, sender, receiver, data):
        if receiver in self.suspended:
            self.suspended[receiver].append((sender, data))
        else:
            super()._deliver(sender, receiver, data)

    async def _request(self, host):
        if host in self.suspended:
            return
        vm = self.running[host]
        quota = vm.limits.find_quota(self.target.name)
        if quota is not None:
            try:
                await vm.client.acquire(quota)
            except Refused as exc:
                self.refusals.append((now(), host, exc))
                return
        sent_at = now()
        await asyncio.sleep(self.rng.uniform(0.0002, self.max_delay))
        self.arrivals.append((now(), host))
        await asyncio.sleep(self.work_rng.uniform(*self.answer_seconds) / 2)
        notice = TargetNotice(self.limit)
        await asyncio.sleep(self.work_rng.uniform(*self.answer_seconds) / 2)
        if self.work_rng.random() < self.lost_answer_share:
            return
        if self.running.get(host) is vm:
            vm.limits.record_notice(self.target, notice, sent_at)
            if notice.limit is not None:
                self.told.setdefault(host, now())

    def _counts(self, at, host):
        told_at = self.told.get(host, float("inf"))
        is_excused = self.excused_until.get(host, float("-inf")) >= self.named_at
        return at >= told_at + REACTION_SECONDS and not is_excused

    def most_in_a_window(self):
        """Return the most requests in a window from VMs that the target had told."""
        counted = sorted(at for at, host in self.arrivals if self._counts(at, host))
        most = first = 0
        for last, at in enumerate(counted):
            while counted[first] <= at - WINDOW_SECONDS:
                first += 1
            if at >= self.named_at + SETTLING_SECONDS:
                most = max(most, last - first + 1)
        return most

    def allowed_in_a_window(self):
        return TOLERANCE * self.limit * WINDOW_SECONDS + SLACK

    def served(self, since):
        """Return the number of requests that reached the target since a moment."""
        return sum(at >= since for at, _ in self.arrivals)
