"""Callers of the fake VMs: who is served, and what runs where."""

from __future__ import annotations

from berylstage_ownership.idempotency import Verdict
from berylstage_ownership.node import Permit

WORK_DEADLINE = 0.4


class Callers:
    """The part of a world that sends requests."""

    def served(self, service, key):
        """Tell whether a caller with a key would be served at this moment."""
        for vm in self.vms.values():
            if vm.node is None or self.time < vm.paused_until:
                continue
            shard = vm.node.shard_of(service, key)
            route = vm.node.route(service, shard) if shard else None
            leader = self.vms.get(route.vm) if route else None
            if leader is None or leader.node is None:
                continue
            if self.time < leader.paused_until:
                continue
            permit = leader.node.admission(leader.local(self.time), service, shard)
            if not isinstance(permit, Permit):
                continue
            target = self.targets[permit.target]
            if self.time >= target.frozen_until and target.accepts(
                self.time, shard, permit
            ):
                return True
        return False

    def request(self, service, key, length=0.05):
        """Send one request through the leading VM, as far as it gets."""
        for vm in self.vms.values():
            if vm.node is None or self.time < vm.paused_until:
                continue
            local = vm.local(self.time)
            shard = vm.node.shard_of(service, key)
            permit = vm.node.admission(local, service, shard) if shard else None
            if isinstance(permit, Permit):
                self._send_work(vm, key, shard, permit, length)

    def _send_work(self, vm, key, shard, permit, length):
        target, node = self.targets[permit.target], vm.node
        deadline = self.time + WORK_DEADLINE
        local_deadline = vm.local(self.time) + WORK_DEADLINE * 1.02
        node.work_started(vm.local(self.time), target.name, shard, local_deadline)
        vm.in_flight += 1

        def ended(now):
            vm.in_flight -= 1
            return node.work_ended(now, target.name, shard)

        def arrive():
            if self.time < target.frozen_until:
                self._at(target.frozen_until - self.time, arrive)
                return
            if self.time >= deadline or not target.accepts(self.time, shard, permit):
                self._in_process(vm, node, ended)
                return
            end = min(self.time + length, deadline)
            self._note_work(key, target.name, self.time, end)
            self._at(end - self.time, self._in_process, vm, node, ended)

        self._at(self._wait(), arrive)

    def request_once(self, key, name, issued_ms):
        """Send a request that may not be repeated through each VM that admits it."""
        for vm in self.vms.values():
            if vm.node is None or self.time < vm.paused_until:
                continue
            local = vm.local(self.time)
            shard = vm.node.shard_of(self.service, key)
            permit = vm.node.admission(local, self.service, shard) if shard else None
            if not isinstance(permit, Permit):
                continue
            wall = vm.wall(self.time)
            decision = vm.table.admit(shard, name, issued_ms, wall)
            if decision.verdict is Verdict.RUN:
                self._send_once(vm, shard, permit, name)

    def _send_once(self, vm, shard, permit, name):
        target, node = self.targets[permit.target], vm.node
        deadline = self.time + WORK_DEADLINE
        local = vm.local(self.time)
        node.work_started(local, target.name, shard, local + WORK_DEADLINE * 1.02)
        ended = [False]

        def end(end_record):
            if not ended[0]:
                ended[0] = True
                end_record()
                return node.work_ended(vm.local(self.time), target.name, shard)
            return []

        def finish(now, outcome):
            if outcome == "answered":
                return end(lambda: vm.table.answered(shard, name, 200, b"ok", ""))
            if outcome == "not run":
                return end(lambda: vm.table.not_run(shard, name))
            return end(lambda: vm.table.unknown(shard, name))

        def arrive():
            if self.time < target.frozen_until:
                self._at(target.frozen_until - self.time, arrive)
                return
            in_time = self.time < deadline
            if not in_time or not target.accepts(self.time, shard, permit):
                outcome = "not run" if target.alive else "unknown"
            else:
                self.runs[name] = self.runs.get(name, 0) + 1
                self._note_work(name, target.name, self.time, self.time)
                outcome = "answered"
                if self.runs[name] > 1:
                    self.faults.append(f"{self.time:.3f}: {name} ran twice")
            if not self._lost(target.name, vm.name):
                self._at(self._wait(), self._in_process, vm, node, finish, outcome)

        if not self._lost(vm.name, target.name):
            self._at(self._wait(), arrive)
        self._at(WORK_DEADLINE, self._in_process, vm, node, finish, "unknown")

    def _note_work(self, key, target, start, end):
        for other_key, other, begun, ended in self.ran[-200:]:
            if other_key == key and other != target and begun < end and start < ended:
                self.faults.append(f"{start:.3f}: {key} at {other} and {target}")
        self.ran.append((key, target, start, end))

    def until_revision(self, revision, limit=3.0):
        """Run until the store holds an assignment revision."""
        end = self.time + limit
        while self.stored_revision < revision and self.time < end:
            self.run(0.01)

    def stop_when_drained(self):
        """Let the VM that shuts down stop once it says that it may."""
        vm = self.vms.get(self.left)
        if vm is None or vm.node is None or self.time < vm.paused_until:
            return
        if not vm.node.leads_anything():
            self.cut_in_flight += vm.in_flight
            self.kill(vm.name)

    def until_served(self, service, keys, limit=10.0):
        """Run until all keys are served and return how long it took."""
        begin = self.time
        while self.time - begin < limit:
            if all(self.served(service, key) for key in keys):
                return self.time - begin
            self.run(0.025)
        return limit
