"""Contract tests of the target client."""

from __future__ import annotations

import asyncio
import json

import pytest
from berylstage_standins.job import Job
from berylstage_targets.errors import NotRun, OutcomeUnknown, TargetError
from berylstage_targets.http import HttpTargetClient

# Requests that a target with fence checks rejects, and the reason.
REJECTED_REQUESTS = [
    ("old fence token", {"fence": 6}, "fence"),
    ("newer fence token than granted", {"fence": 8}, "fence"),
    ("old epoch", {"epoch": 2}, "fence"),
    ("newer epoch than granted", {"epoch": 4}, "fence"),
    ("other shard", {"shard": "field-log/6"}, "fence"),
    ("other service", {"service": "parts-desk"}, "fence"),
    ("deadline over", {"deadline": 1.0}, "deadline"),
]

# Grant requests that a target with a grant of epoch 3, version 1 rejects, and the
# reason.
REJECTED_GRANTS = [
    ("older epoch", {"epoch": 2, "version": 9}, "epoch"),
    ("older version", {"version": 0}, "epoch"),
    ("no reading of the clock", {"version": 2, "anchor": 0}, "anchor"),
    ("reading of another run", {"version": 2, "incarnation": "old"}, "anchor"),
    ("reading from the future", {"version": 2, "anchor": 10**9}, "anchor"),
    ("already over", {"version": 2, "anchor": 1, "lifetime_ms": 0}, "anchor"),
]

# Faults under which the work may run and no complete answer arrives.
BROKEN_ANSWERS = [
    {"cross_answers": 1},
    {"short_answers": 1},
    {"lost_answers": 1},
]


def run(scenario):
    """Run a test's coroutine to completion."""
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
        # A VM that is no longer leader, or whose caller timed out, still sends work.
        # Unless the target rejected it, a key could have two owners.
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
        # The target is overloaded or draining. The caller must know that the request
        # did not run, so that it can be sent elsewhere without running twice.
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
        # More requests arrive than the target has slots and queue capacity.
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
        # The target's process has ended and its address refuses connections.
        async def scenario():
            async with open_target() as rig:
                rig.client.base = "http://127.0.0.1:1"
                with pytest.raises(NotRun) as caught:
                    await rig.client.send(rig.request())
                assert caught.value.reason == "connect"

        run(scenario)

    def test_a_timeout_waiting_for_a_connection_is_not_run(self, open_target):
        # Long work occupies every connection that the VM may open to the target. A
        # request that gets none before its timeout was never sent, and must fail at
        # its deadline instead of when the long work ends.
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
        # A caller sends a content type with a line break. Forwarded unchanged, it
        # would let the caller inject headers such as a fence token.
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
        # The target sends another request's answer, truncates the body, or closes the
        # connection after the work is done. The caller must get neither a wrong or
        # partial answer nor the error that nothing ran, and the client must not retry
        # the work.
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
        # After an answer to another request, requests and answers on the connection
        # are out of step. The next request on it could get the answer to the last one.
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
        # The target freezes until after the request's timeout and then resumes. Its
        # overdue answer must not be read as the answer to a later request.
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
        # A middlebox loses the state of all open connections, while new ones work. The
        # first request is lost with its outcome unknown. Later requests must not be
        # lost one by one on the other old connections.
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
        # The renewal of a grant is the first call on the unresponsive connections.
        # Later requests must not be lost on the connections for work.
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
        # A request that may not be repeated uses a new connection, because an old one
        # may have become unresponsive unnoticed.
        async def scenario():
            async with open_target() as rig:
                await rig.obtain_grant()
                await rig.client.send(rig.request())
                rig.target.silence_connections()
                await rig.client.send(rig.request(fresh_connection=True))

        run(scenario)

    def test_a_target_crash_is_unknown_and_not_retried(self, open_target):
        # The target crashes while it runs the work, and its connection closes. curl by
        # default would send the work again to the restarted target.
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
        # A caller disconnects during a long request. Unless the target is notified,
        # one of its two slots stays occupied by useless work.
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
        # As above, but a middlebox has lost the state of the open connections, and the
        # target does not notice that they close. The VM must still get the target's
        # confirmation that the request no longer runs.
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
        # The target is slow to confirm cancellations, and many requests are cancelled
        # at once. A renewal that waited for them would arrive after the grant expired.
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
        # The caller cancels because the target is gone. The cancellation fails for the
        # same reason and must not raise an error.
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
        # A grant request of a VM that is no longer leader arrives with a delay. If it
        # took effect, two VMs could send work for one key.
        async def scenario():
            async with open_target() as rig:
                await rig.obtain_grant()
                grant_request = rig.grant_request(shards={}, **fields)
                answer = await rig.client.grant(grant_request, 10.0)
                assert (answer.accepted, answer.reason) == (False, reason)
                await rig.client.send(rig.request())

        run(scenario)

    def test_a_higher_epoch_replaces_the_grant(self, open_target):
        # Another VM becomes leader. After its first grant request the target must
        # reject work of the previous leader, which may not know of the change yet.
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
        # A shard moves to another target during a long request, and that target starts
        # to serve the key. The work on the first target must have no effect.
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
        # The target rejects the shard, which must then be assigned to another one.
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
        # The target is frozen. The call must fail at its timeout, because the VM has
        # to act before its lease expires.
        async def scenario():
            async with open_target() as rig:
                rig.faults(freeze=True)
                with pytest.raises(TargetError):
                    await rig.client.grant(rig.grant_request(), 0.1)
                with pytest.raises(TargetError):
                    await rig.client.report(0.1)

        run(scenario)

    def test_grants_do_not_wait_behind_work(self, open_target):
        # Work occupies all of its connections. A renewal that queued behind it would
        # arrive after the grant expired, and the target would reject all work.
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
        # The target freezes while its load endpoint keeps reporting that it is idle. A
        # policy that relied on the report would send all work to the frozen target.
        async def scenario():
            async with open_target() as rig:
                rig.faults(freeze=True, frozen_reports=True, report_running=0)
                assert (await rig.client.report(10.0)).running == 0

        run(scenario)


class TestClose:
    def test_closing_fails_active_requests(self, open_target):
        # The VM closes the client of a target that was removed from the sheet while a
        # request is active. The pending call must fail.
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
        # A request that may not be repeated opens a new connection, which is kept for
        # later work. A VM that kept as many as the target accepts would leave none for
        # the target's next leader. The target would close the leader's connections, and
        # each request would end with its outcome unknown until the first VM closes its
        # idle connections.
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
