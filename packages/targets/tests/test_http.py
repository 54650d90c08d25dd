"""Contract tests of the target's interface."""

from __future__ import annotations

import asyncio
import json

import pytest
from berylstage_standins.job import Job
from berylstage_targets.errors import NotRun, OutcomeUnknown, TargetError
from berylstage_targets.http import HttpTargetClient

# Requests that a fence-checking target refuses, and the reason.
REJECTED_REQUESTS = [
    ("old fence token", {"fence": 6}, "fence"),
    ("newer fence token than granted", {"fence": 8}, "fence"),
    ("old epoch", {"epoch": 2}, "fence"),
    ("newer epoch than granted", {"epoch": 4}, "fence"),
    ("other shard", {"shard": "field-log/6"}, "fence"),
    ("other service", {"service": "parts-desk"}, "fence"),
    ("deadline over", {"deadline": 1.0}, "deadline"),
]

# Grant orders that a target refuses while it holds epoch 3, version 1, and the reason.
REJECTED_GRANTS = [
    ("older epoch", {"epoch": 2, "version": 9}, "epoch"),
    ("older version", {"version": 0}, "epoch"),
    ("no reading of the clock", {"version": 2, "anchor": 0}, "anchor"),
    ("reading of another run", {"version": 2, "incarnation": "old"}, "anchor"),
    ("reading from the future", {"version": 2, "anchor": 10**9}, "anchor"),
    ("already over", {"version": 2, "anchor": 1, "lifetime_ms": 0}, "anchor"),
]

# Fault switches under which the work may be done and no whole answer comes.
BROKEN_ANSWERS = [
    {"cross_answers": 1},
    {"short_answers": 1},
    {"lost_answers": 1},
]


def run(scenario):
    """Run a test's coroutine to its end."""
    return asyncio.run(asyncio.wait_for(scenario(), 30))


async def wait_until(condition):
    """Wait until a condition holds."""
    while not condition():
        await asyncio.sleep(0.001)


class TestSend:
    @pytest.mark.parametrize("key", ["dryer-1", "ключ", "a/b", "..", "50%", "a?b#c"])
    def test_the_answer_is_complete_and_belongs_to_the_request(self, open_target, key):
        async def scenario():
            async with open_target() as rig:
                await rig.obtain_grant()
                req = rig.request(key=key, body=b"x" * 300_000)
                answer = await rig.client.send(req)
                doc = json.loads(answer.body)
                assert doc["key"] == key
                assert doc["request_id"] == req.request_id
                assert answer.status == 200
                assert answer.content_type == "application/json"
                assert answer.incarnation == rig.target.incarnation

        run(scenario)

    def test_concurrent_answers_are_matched_to_their_requests(self, open_target):
        async def scenario():
            async with open_target(slots=4, backlog=100) as rig:
                await rig.obtain_grant()
                reqs = [rig.request(key=f"key-{n}") for n in range(40)]
                answers = await asyncio.gather(*map(rig.client.send, reqs))
                keys = [json.loads(answer.body)["key"] for answer in answers]
                assert keys == [req.key for req in reqs]

        run(scenario)

    @pytest.mark.parametrize(
        ("fields", "reason"),
        [row[1:] for row in REJECTED_REQUESTS],
        ids=[row[0] for row in REJECTED_REQUESTS],
    )
    def test_rejected_work_is_not_run(self, open_target, fields, reason):
        # A VM that has lost the lead, or whose caller has given up, still sends work.
        # The target refuses it; had it run, a key would have had two owners.
        async def scenario():
            async with open_target() as rig:
                await rig.obtain_grant()
                with pytest.raises(NotRun) as caught:
                    await rig.client.send(rig.request(**fields))
                assert caught.value.reason == reason
                assert rig.completed_request_ids() == []

        run(scenario)

    @pytest.mark.parametrize("switch", ["shed", "draining"])
    def test_shed_work_is_not_run(self, open_target, switch):
        # The target is overloaded or leaves. Its refusal must reach the caller as
        # certain, so that the request can be sent elsewhere without a second run.
        async def scenario():
            async with open_target() as rig:
                await rig.obtain_grant()
                rig.faults(**{switch: True})
                with pytest.raises(NotRun) as caught:
                    await rig.client.send(rig.request())
                assert caught.value.reason == switch
                assert rig.completed_request_ids() == []

        run(scenario)

    def test_work_over_the_backlog_is_not_run(self, open_target):
        # More requests arrive than the target has slots and places to wait.
        async def scenario():
            async with open_target(slots=1, backlog=1) as rig:
                await rig.obtain_grant()
                long = [
                    asyncio.ensure_future(rig.client.send(rig.request(kind="long")))
                    for _ in range(2)
                ]
                await wait_until(lambda: len(rig.target.work.jobs) == 2)
                with pytest.raises(NotRun) as caught:
                    await rig.client.send(rig.request())
                assert caught.value.reason == "slots"
                for task in long:
                    task.cancel()

        run(scenario)

    def test_a_refused_connection_is_not_run(self, open_target):
        # The target's process is gone and its address refuses connections.
        async def scenario():
            async with open_target() as rig:
                rig.client.base = "http://127.0.0.1:1"
                with pytest.raises(NotRun) as caught:
                    await rig.client.send(rig.request())
                assert caught.value.reason == "connect"

        run(scenario)

    def test_a_timeout_waiting_for_a_connection_is_not_run(self, open_target):
        # Long work holds every connection that the VM may open to the target. A
        # request that found none in its time was never sent, and is due an answer
        # at its deadline rather than when the long work ends.
        async def scenario():
            async with open_target(connections=3) as rig:
                await rig.obtain_grant()
                long = asyncio.ensure_future(rig.client.send(rig.request(kind="long")))
                await wait_until(lambda: rig.target.work.jobs)
                with pytest.raises(NotRun) as caught:
                    await rig.client.send(rig.request(timeout=0.05))
                assert caught.value.reason == "connect"
                long.cancel()

        run(scenario)

    def test_a_header_with_a_line_break_is_never_sent(self, open_target):
        # A caller sends a content type that holds a line break. Passed on as it is,
        # it would let the caller write headers of its own, a fence token for one.
        async def scenario():
            async with open_target() as rig:
                await rig.obtain_grant()
                req = rig.request(content_type="text/plain\r\nFence: 9")
                with pytest.raises(NotRun):
                    await rig.client.send(req)
                assert rig.completed_request_ids() == []

        run(scenario)


class TestLostAnswers:
    @pytest.mark.parametrize("faults", BROKEN_ANSWERS, ids=lambda row: next(iter(row)))
    @pytest.mark.parametrize("warm", [True, False], ids=["kept", "new"])
    def test_a_broken_answer_is_unknown_and_ran_once(self, open_target, faults, warm):
        # The target answers with another request's answer, breaks off in the body, or
        # closes the connection after the work is done. The caller must not see a
        # wrong or cut answer, nor hear that nothing ran, and nobody may send the
        # work a second time unasked.
        async def scenario():
            async with open_target() as rig:
                await rig.obtain_grant()
                if warm:
                    await rig.client.send(rig.request())
                rig.faults(**faults)
                req = rig.request()
                with pytest.raises(OutcomeUnknown):
                    await rig.client.send(req)
                assert rig.completed_request_ids().count(req.request_id) == 1

        run(scenario)

    def test_an_answer_to_another_request_closes_its_connection(self, open_target):
        # After a crossed answer the two ends disagree on whose turn it is. Another
        # request on this connection could get the answer to the last one.
        async def scenario():
            async with open_target() as rig:
                await rig.obtain_grant()
                await rig.client.send(rig.request())
                kept = list(rig.target.streams)
                rig.faults(cross_answers=1)
                with pytest.raises(OutcomeUnknown):
                    await rig.client.send(rig.request())
                await rig.client.send(rig.request())
                await wait_until(lambda: any(stream.closed() for stream in kept))

        run(scenario)

    def test_an_overdue_answer_is_discarded(self, open_target):
        # The target freezes, the caller's time is over, and then the target goes on
        # as if nothing had happened. Its late answer must not be taken for the
        # answer to a later request.
        async def scenario():
            async with open_target() as rig:
                await rig.obtain_grant()
                await rig.client.send(rig.request())
                rig.faults(freeze=True)
                with pytest.raises(OutcomeUnknown):
                    await rig.client.send(rig.request(timeout=0.1))
                rig.faults(freeze=False)
                req = rig.request()
                answer = await rig.client.send(req)
                assert json.loads(answer.body)["request_id"] == req.request_id

        run(scenario)

    def test_unresponsive_connections_lose_one_request(self, open_target):
        # Something between VM and target loses track of all open connections, while
        # new ones work. The first request is lost with its outcome unknown. Later
        # ones must not be lost one by one on the other old connections.
        async def scenario():
            async with open_target(slots=4, backlog=100) as rig:
                await rig.obtain_grant()
                reqs = [rig.request() for _ in range(8)]
                await asyncio.gather(*map(rig.client.send, reqs))
                rig.target.silence_connections()
                with pytest.raises(OutcomeUnknown):
                    await rig.client.send(rig.request(timeout=0.1))
                for _ in range(8):
                    await rig.client.send(rig.request())

        run(scenario)

    def test_a_lost_renewal_retires_connections_for_work(self, open_target):
        # The renewal of a grant is the first to meet the silent connections. Requests
        # that come after it must not be lost on theirs.
        async def scenario():
            async with open_target() as rig:
                await rig.obtain_grant()
                await rig.client.send(rig.request())
                rig.target.silence_connections()
                with pytest.raises(TargetError):
                    await rig.client.grant(rig.grant_request(), 0.1)
                await rig.client.send(rig.request())

        run(scenario)

    def test_a_fresh_connection_avoids_unresponsive_ones(self, open_target):
        # A request that may not be repeated asks for a new connection, because an
        # old one may have gone silent without anybody's notice.
        async def scenario():
            async with open_target() as rig:
                await rig.obtain_grant()
                await rig.client.send(rig.request())
                rig.target.silence_connections()
                await rig.client.send(rig.request(fresh_connection=True))

        run(scenario)

    def test_a_target_crash_is_unknown_and_not_retried(self, open_target):
        # The target crashes in the middle of the work, and its connection closes.
        # curl by itself would send the work again to the restarted target.
        async def scenario():
            async with open_target(checks_fences=False) as rig:
                await rig.client.send(rig.request())
                task = asyncio.ensure_future(rig.client.send(rig.request(kind="long")))
                await wait_until(lambda: rig.target.work.jobs)
                rig.target.restart()
                with pytest.raises(OutcomeUnknown):
                    await task
                assert rig.target.work.jobs == {}

        run(scenario)


class TestCancel:
    def test_a_cancelled_send_frees_the_target(self, open_target):
        # A technician closes the page while a long report is being made. Unless the
        # target hears of it, one of its two slots works on for nobody.
        async def scenario():
            async with open_target() as rig:
                await rig.obtain_grant()
                task = asyncio.ensure_future(rig.client.send(rig.request(kind="long")))
                await wait_until(lambda: rig.target.work.running == 1)
                task.cancel()
                with pytest.raises(asyncio.CancelledError):
                    await task
                await wait_until(lambda: rig.target.work.running == 0)
                assert rig.completed_request_ids() == []

        run(scenario)

    def test_cancel_bypasses_unresponsive_connections(self, open_target):
        # As before, but something between the two ends has lost track of the open
        # connections, and the target does not notice that they close. The VM must
        # still get the target's word that it works on the request no more.
        async def scenario():
            async with open_target() as rig:
                await rig.obtain_grant()
                await rig.client.cancel("an earlier request")
                req = rig.request(kind="long")
                task = asyncio.ensure_future(rig.client.send(req))
                await wait_until(lambda: rig.target.work.running == 1)
                rig.target.silence_connections()
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
                assert rig.target.work.running == 1
                assert await rig.client.cancel(req.request_id)
                assert rig.target.work.running == 0
                assert rig.completed_request_ids() == []

        run(scenario)

    def test_grants_do_not_wait_behind_cancellations(self, open_target):
        # The target is slow to confirm that it has dropped requests, and many are
        # cancelled at once. A renewal that waited for them would come too late.
        async def scenario():
            async with open_target() as rig:
                rig.target.work.jobs["stuck"] = Job("stuck", "field-log", "long", "k")
                cancels = [
                    asyncio.ensure_future(rig.client.cancel("stuck")) for _ in range(9)
                ]
                await wait_until(rig.target.work.jobs["stuck"].dropped.is_set)
                await rig.obtain_grant()
                assert not any(cancel.done() for cancel in cancels)
                for cancel in cancels:
                    cancel.cancel()

        run(scenario)

    def test_cancel_drops_work_by_its_id(self, open_target):
        async def scenario():
            async with open_target() as rig:
                await rig.obtain_grant()
                req = rig.request(kind="long")
                task = asyncio.ensure_future(rig.client.send(req))
                await wait_until(lambda: rig.target.work.running == 1)
                assert await rig.client.cancel(req.request_id)
                with pytest.raises(NotRun) as caught:
                    await task
                assert caught.value.reason == "cancelled"
                assert rig.completed_request_ids() == []

        run(scenario)

    def test_a_target_without_answer_confirms_no_cancellation(self, open_target):
        # The caller gives up because the target is gone. Telling the target so fails
        # for the same reason, which is no news to anybody.
        async def scenario():
            async with open_target() as rig:
                rig.client.base = "http://127.0.0.1:1"
                assert not await rig.client.cancel("req-1")

        run(scenario)


class TestGrant:
    def test_the_first_grant_only_reads_the_clock(self, open_target):
        async def scenario():
            async with open_target() as rig:
                grant_request = rig.grant_request(anchor=0, incarnation="")
                answer = await rig.client.grant(grant_request, 10.0)
                assert (answer.accepted, answer.reason) == (False, "anchor")
                assert answer.clock > 0
                assert answer.incarnation == rig.target.incarnation
                grant_request = rig.grant_request(anchor=answer.clock)
                assert (await rig.client.grant(grant_request, 10.0)).accepted

        run(scenario)

    @pytest.mark.parametrize(
        ("fields", "reason"),
        [row[1:] for row in REJECTED_GRANTS],
        ids=[row[0] for row in REJECTED_GRANTS],
    )
    def test_an_outdated_grant_changes_nothing(self, open_target, fields, reason):
        # An order of a VM that has lost the lead is delayed on its way. In force, it
        # would let two VMs send work for one key.
        async def scenario():
            async with open_target() as rig:
                await rig.obtain_grant()
                grant_request = rig.grant_request(shards={}, **fields)
                answer = await rig.client.grant(grant_request, 10.0)
                assert (answer.accepted, answer.reason) == (False, reason)
                await rig.client.send(rig.request())

        run(scenario)

    def test_a_higher_epoch_replaces_the_grant(self, open_target):
        # Another VM takes the lead. From its first order on, the target must refuse
        # work of the VM before, which may not know yet.
        async def scenario():
            async with open_target() as rig:
                await rig.obtain_grant()
                grant_request = rig.grant_request(
                    vm="vm-2", epoch=4, shards={"field-log/5": 9}
                )
                assert (await rig.client.grant(grant_request, 10.0)).accepted
                with pytest.raises(NotRun):
                    await rig.client.send(rig.request())
                await rig.client.send(rig.request(epoch=4, fence=9))

        run(scenario)

    def test_a_shard_that_is_not_named_is_revoked(self, open_target):
        async def scenario():
            async with open_target() as rig:
                await rig.obtain_grant()
                grant_request = rig.grant_request(version=2, shards={"field-log/6": 8})
                assert (await rig.client.grant(grant_request, 10.0)).accepted
                with pytest.raises(NotRun):
                    await rig.client.send(rig.request())

        run(scenario)

    def test_work_whose_grant_ends_meanwhile_has_no_effect(self, open_target):
        # A long report is being made when the shard moves to another target, which
        # starts to serve the key. The first target must not write any more.
        async def scenario():
            async with open_target(work_ms={"lookup": 50.0}) as rig:
                await rig.obtain_grant()
                task = asyncio.ensure_future(rig.client.send(rig.request()))
                await wait_until(lambda: rig.target.work.running == 1)
                await rig.client.grant(rig.grant_request(version=2, shards={}), 10.0)
                with pytest.raises(NotRun) as caught:
                    await task
                assert caught.value.reason == "fence"
                assert rig.completed_request_ids() == []

        run(scenario)

    def test_an_unwilling_target_rejects_the_grant(self, open_target):
        # The target does not want the shard, which must then go to another one.
        async def scenario():
            async with open_target() as rig:
                rig.faults(unwilling=True)
                answer = await rig.client.grant(rig.grant_request(), 10.0)
                assert (answer.accepted, answer.reason) == (False, "unwilling")

        run(scenario)

    def test_a_target_without_fence_checks_accepts_any_grant(self, open_target):
        async def scenario():
            async with open_target(checks_fences=False) as rig:
                grant_request = rig.grant_request(anchor=0, epoch=1)
                assert (await rig.client.grant(grant_request, 10.0)).accepted
                await rig.client.send(rig.request(fence=1, epoch=1))

        run(scenario)

    def test_a_frozen_target_raises_target_error(self, open_target):
        # The target froze. The VM must learn within its own time that no answer
        # comes, since it plans by its lease.
        async def scenario():
            async with open_target() as rig:
                rig.faults(freeze=True)
                with pytest.raises(TargetError):
                    await rig.client.grant(rig.grant_request(), 0.1)
                with pytest.raises(TargetError):
                    await rig.client.report(0.1)

        run(scenario)

    def test_grants_do_not_wait_behind_work(self, open_target):
        # Work holds all connections for work. A renewal that waited behind it
        # would come too late, and the target would refuse everything.
        async def scenario():
            async with open_target(connections=6, slots=1, backlog=9) as rig:
                await rig.obtain_grant()
                long = [
                    asyncio.ensure_future(rig.client.send(rig.request(kind="long")))
                    for _ in range(6)
                ]
                await wait_until(lambda: len(rig.target.work.jobs) == 2)
                assert (await rig.client.grant(rig.grant_request(), 10.0)).accepted
                for task in long:
                    task.cancel()

        run(scenario)


class TestReport:
    def test_the_report_contains_the_load(self, open_target):
        async def scenario():
            async with open_target(cold_bound=1) as rig:
                await rig.obtain_grant()
                task = asyncio.ensure_future(rig.client.send(rig.request(kind="long")))
                await wait_until(lambda: rig.target.work.running == 1)
                report = await rig.client.report(10.0)
                assert (report.running, report.cold, report.draining) == (
                    1,
                    True,
                    False,
                )
                task.cancel()

        run(scenario)

    def test_a_report_may_be_wrong(self, open_target):
        # The target freezes while its load endpoint goes on telling that it is idle.
        # Whoever steers by it sends everything to the frozen target.
        async def scenario():
            async with open_target() as rig:
                rig.faults(freeze=True, frozen_reports=True, report_running=0)
                assert (await rig.client.report(10.0)).running == 0

        run(scenario)


class TestClose:
    def test_closing_fails_active_requests(self, open_target):
        # The VM closes the client of a target that left the sheet while a request is
        # still out. Whoever awaits it must get an end.
        async def scenario():
            async with open_target() as rig:
                await rig.obtain_grant()
                task = asyncio.ensure_future(rig.client.send(rig.request(kind="long")))
                await wait_until(lambda: rig.target.work.running == 1)
                await rig.client.close()
                with pytest.raises(OutcomeUnknown):
                    await task

        run(scenario)


class TestKeptConnections:
    def test_kept_connections_leave_room_for_the_next_leader(self, open_target):
        # A parts order goes out on a new connection, which is kept for later work. A
        # VM that kept as many as the target takes would leave no room for the VM
        # that leads the target next: the target closes its connections, and each of
        # its orders ends as unknown until the first VM forgets its own.
        async def scenario():
            async with open_target(connections=20) as rig:
                await rig.obtain_grant()
                for _ in range(30):
                    await rig.client.send(rig.request(fresh_connection=True))
                vms = [HttpTargetClient(rig.address, 20, f"vm-{n}") for n in (2, 3, 4)]
                for version, vm in enumerate(vms, start=2):
                    await vm.grant(rig.grant_request(version=version), 10.0)
                    await vm.send(rig.request())
                for vm in vms:
                    await vm.close()

        run(scenario)
