"""Tests of the choice of targets by connections."""

from __future__ import annotations

from berylstage_policy.connection_affinity import (
    CONNECTION_SECONDS,
    RATE_WINDOW_SECONDS,
    USE_INTERVAL_SECONDS,
    VM_TTL_SECONDS,
    ChoiceCounts,
    ConnectionAffinity,
)
from berylstage_policy.free_target_choice import (
    IDLE_TARGET_CONNECTED_SECONDS,
    IDLE_TARGET_SECONDS,
)
from berylstage_policy.service_times import ServiceTimes
from berylstage_policy.slot_queue import SlotQueue
from berylstage_policy.slot_requests import QueuedRequest, RequestId
from berylstage_policy.target_slots import TargetReport
from free_targets_model import Kind, Model

CENTRES = 3
TARGETS = [f"price-desk-{n}" for n in range(46)]


def centre_of(name):
    return f"dc-{int(name.rpartition('-')[2]) % CENTRES}"


def vm_name(n):
    return f"vm-{n}"


def connection_affinity(targets=TARGETS, vms=84, rate=3.7, seconds=20):
    """Return the affinity after all VMs have sent requests at a rate."""
    affinity = ConnectionAffinity(centre_of)
    affinity.set_targets(targets)
    for n in range(round(seconds * rate)):
        for vm in range(vms):
            affinity.record_granted(vm_name(vm), "none", n / rate)
    return affinity


def subsets(affinity, vms=84, now=20.0):
    return {
        vm: set(affinity.subset(vm_name(vm), f"dc-{vm % CENTRES}", now))
        for vm in range(vms)
    }


class TestSubset:
    def test_each_target_of_a_vm_is_used_once_in_the_interval(self):
        # A subset that is too large has pairs whose connections are closed before they
        # are used again.
        affinity = connection_affinity()
        expected = 3.7 * USE_INTERVAL_SECONDS
        sizes = [len(names) for names in subsets(affinity).values()]
        assert all(0.7 * expected <= size <= 1.5 * expected for size in sizes)

    def test_targets_of_the_same_data_centre_come_first(self):
        for vm, names in subsets(connection_affinity()).items():
            assert {centre_of(name) for name in names} == {f"dc-{vm % CENTRES}"}

    def test_targets_are_in_about_as_many_subsets(self):
        # With a linear checksum instead of a hash, the subsets of all VMs were blocks
        # of the same targets.
        chosen = [
            name for names in subsets(connection_affinity()).values() for name in names
        ]
        counts = [chosen.count(name) for name in TARGETS]
        mean = len(chosen) / len(TARGETS)
        assert max(counts) < 1.8 * mean
        assert min(counts) > 0.4 * mean

    def test_target_that_ends_changes_only_its_own_pairs(self):
        # If all subsets changed with each target that ends, all connections would be
        # opened again.
        affinity = connection_affinity()
        before = subsets(affinity)
        gone = TARGETS[7]
        affinity.set_targets([name for name in TARGETS if name != gone])
        after = subsets(affinity)
        for vm, names in before.items():
            assert len(names - after[vm] - {gone}) == 0
            assert len(after[vm] - names) == (gone in names)

    def test_target_that_joins_replaces_at_most_one_per_vm(self):
        affinity = connection_affinity()
        before = subsets(affinity)
        affinity.set_targets([*TARGETS, "price-desk-46"])
        after = subsets(affinity)
        for vm, names in before.items():
            assert after[vm] - names <= {"price-desk-46"}
            assert len(names - after[vm]) <= 1

    def test_vm_that_joins_or_ends_changes_no_other_subset(self):
        assert subsets(connection_affinity(vms=84), vms=60) == subsets(
            connection_affinity(vms=60), vms=60
        )

    def test_next_permit_server_computes_the_same_subsets(self):
        # The permit server is lost. If the next one chose other subsets, all its VMs
        # would open new connections at once.
        first = connection_affinity(TARGETS)
        second = connection_affinity(list(reversed(TARGETS)))
        assert subsets(first) == subsets(second)

    def test_data_centre_of_a_vm_that_becomes_known_later_counts(self):
        affinity = connection_affinity()
        affinity.subset(vm_name(1), "", 20.0)
        names = affinity.subset(vm_name(1), "dc-1", 20.0)
        assert {centre_of(name) for name in names} == {"dc-1"}


class TestScope:
    def test_many_pairs_for_few_requests(self):
        assert connection_affinity(vms=84, rate=3.7).is_active(20.0)

    def test_few_pairs_stay_connected_by_themselves(self):
        # A deployment of 9 VMs and 12 targets with 100 requests a second has no need
        # for subsets and is served as before.
        affinity = connection_affinity(TARGETS[:12], vms=9, rate=11.0)
        assert not affinity.is_active(20.0)

    def test_silent_vms_are_forgotten(self):
        affinity = connection_affinity(vms=20)
        affinity.record_granted("vm-new", "none", 20.0 + VM_TTL_SECONDS)
        assert affinity.vm_count == 1


class TestConnections:
    def test_connected_target_is_chosen_first(self):
        affinity = connection_affinity()
        other = next(
            name
            for name in TARGETS
            if name not in affinity.subset("vm-0", "dc-0", 20.0)
        )
        affinity.record_granted("vm-0", other, 20.0)
        assert affinity.choose("vm-0", "dc-0", TARGETS, 20.1) != other
        affinity.record_answered("vm-0", other, 20.2)
        assert affinity.choose("vm-0", "dc-0", TARGETS, 20.3) == other

    def test_connection_in_use_or_closed_does_not_count(self):
        # A second request on a connection that is in use opens another one.
        affinity = connection_affinity()
        affinity.record_granted("vm-0", "price-desk-0", 20.0)
        affinity.record_answered("vm-0", "price-desk-0", 20.1)
        assert affinity.has_idle_connection("vm-0", "price-desk-0", 20.2)
        assert not affinity.has_idle_connection(
            "vm-0", "price-desk-0", 20.2 + CONNECTION_SECONDS
        )
        affinity.record_granted("vm-0", "price-desk-0", 20.2)
        assert not affinity.has_idle_connection("vm-0", "price-desk-0", 20.2)

    def test_first_target_is_chosen_if_none_is_in_the_subset(self):
        affinity = connection_affinity()
        few = affinity.subset("vm-0", "dc-0", 20.0)
        others = [name for name in TARGETS if name not in few]
        assert affinity.choose("vm-0", "dc-0", others, 20.0) == others[0]

    def test_choices_are_counted(self):
        affinity = connection_affinity()
        affinity.take_counts()
        few = affinity.subset("vm-0", "dc-0", 20.0)
        other = next(name for name in TARGETS if name not in few)
        affinity.record_granted("vm-0", few[0], 20.0)
        affinity.record_granted("vm-0", other, 20.0)
        affinity.record_answered("vm-0", few[0], 20.1)
        affinity.record_granted("vm-0", few[0], 20.2)
        assert affinity.take_counts() == ChoiceCounts(1, 1, 1)
        assert affinity.take_counts() == ChoiceCounts(0, 0, 0)

    def test_connections_of_a_removed_target_are_forgotten(self):
        affinity = connection_affinity()
        affinity.record_granted("vm-0", "price-desk-0", 20.0)
        affinity.record_answered("vm-0", "price-desk-0", 20.1)
        affinity.set_targets(TARGETS[1:])
        affinity.set_targets(TARGETS)
        assert not affinity.has_idle_connection("vm-0", "price-desk-0", 20.2)


class Times(ServiceTimes):
    """Service times by target."""

    def __init__(self, **seconds):
        self.by_target = seconds

    def seconds(self, target, kind):
        return self.by_target[target]

    def locality_penalty(self, target, origin, kind):
        return 0.0


def queue_of(slots=1, **seconds):
    """Return a queue, and its affinity, whose targets were all used at time 0.

    Thirty other VMs have sent two requests a second, so that pairs lose connections.
    """
    affinity = ConnectionAffinity(lambda name: "dc-1")
    for n in range(30):
        affinity.record_granted(f"other-{n}", "none", n / 2 - 15)
    queue = SlotQueue(Times(**seconds), affinity)
    queue.set_targets(dict.fromkeys(seconds, slots))
    for target in queue._targets.values():
        target.last_granted_at = 0.0
    return queue, affinity


def ask(queue, number, now=0.0, objective=0.5, host="vm-1"):
    """Return the target that a request is granted."""
    request_id = RequestId(host, number)
    soft_deadline, deadline = now + objective, now + 2.0
    req = QueuedRequest(
        request_id, "kind", "dc-1", 1, soft_deadline, objective, deadline, now
    )
    return queue.request(req, now)[-1].target


def connect(queue, affinity, target, now=0.0, host="vm-1"):
    affinity.record_granted(host, target, now)
    affinity.record_answered(host, target, now)


class TestQueue:
    def test_connected_target_is_preferred_among_equal_ones(self):
        queue, affinity = queue_of(a=0.1, b=0.105, c=0.2)
        connect(queue, affinity, "b")
        assert ask(queue, 1) == "b"

    def test_slower_target_is_not_preferred(self):
        # Guards against answers that come later for the sake of a connection.
        queue, affinity = queue_of(a=0.1, b=0.12, c=0.1)
        connect(queue, affinity, "b")
        assert ask(queue, 1) in ("a", "c")

    def test_target_that_would_be_late_is_not_preferred(self):
        queue, affinity = queue_of(a=0.1, b=0.105, c=0.2)
        connect(queue, affinity, "b")
        assert ask(queue, 1, objective=0.102) == "a"

    def test_very_slow_target_does_not_make_others_equal(self):
        queue, affinity = queue_of(a=0.1, b=0.15, c=9.0)
        connect(queue, affinity, "b")
        assert ask(queue, 1) == "a"

    def test_busy_subset_falls_back_to_all_targets(self):
        # The VM's few targets have no free slots. A request must not wait for them
        # while others are free.
        queue, affinity = queue_of(a=0.1, b=0.1, c=0.1)
        granted = [ask(queue, number) for number in range(3)]
        assert sorted(granted) == ["a", "b", "c"]
        assert affinity.subset_size("vm-1", 0.0) < 3

    def test_request_without_an_answer_leaves_no_connection(self):
        # A caller has gone, or a target has not answered: the connection is closed.
        queue, affinity = queue_of(a=0.1, b=0.1)
        target = ask(queue, 1)
        queue.release(RequestId("vm-1", 1), 0.1)
        assert not affinity.has_idle_connection("vm-1", target, 0.1)
        target = ask(queue, 2, 0.1)
        queue.release(RequestId("vm-1", 2), 0.2, TargetReport(target, 0))
        assert affinity.has_idle_connection("vm-1", target, 0.2)

    def test_idle_target_waits_for_a_connected_vm(self):
        # Each of 20 slow targets is measured once a second. If any VM could do that, it
        # would open a new connection each time.
        queue, affinity = queue_of(slots=9, a=0.1, b=0.2)
        connect(queue, affinity, "b", host="vm-2")
        connect(queue, affinity, "a", host="vm-1")
        queue._targets["a"].last_granted_at = IDLE_TARGET_SECONDS
        now = IDLE_TARGET_SECONDS + 0.1
        assert ask(queue, 1, now, host="vm-1") == "a"
        assert ask(queue, 2, now, host="vm-2") == "b"

    def test_idle_target_is_measured_without_a_connected_vm(self):
        # Guards against targets that are never measured again.
        queue, affinity = queue_of(slots=9, a=0.1, b=0.2)
        now = IDLE_TARGET_SECONDS + IDLE_TARGET_CONNECTED_SECONDS + 0.1
        queue._targets["a"].last_granted_at = now
        connect(queue, affinity, "a", now)
        assert ask(queue, 1, now) == "b"


def price_desk(seed, has_affinity):
    """Play 20 s of the load that this choice answers; return the model.

    The first 10 s, in which every VM opens its first connections, are not counted.
    """
    model = Model(
        [
            Kind("markdown list", 156, 0.61, 3.04, 10.06, 2),
            Kind("till price", 156, 0.096, 0.42, 2.61, 0),
        ],
        lambda times: SlotQueue(
            times, ConnectionAffinity(times.data_centre) if has_affinity else None
        ),
        seconds=20.0,
        seed=seed,
    )
    model.at(10.0, model.reset_counts)
    return model.run()


class TestLoad:
    def test_far_fewer_new_connections_and_no_later_answers(self):
        # 84 VMs and 46 targets, 312 requests a second. Half of the new connections is
        # the aim.
        plays = [(price_desk(n, False), price_desk(n, True)) for n in (1, 2)]
        before, after = (
            sum(pair[n].new_connections / pair[n].sent for pair in plays)
            for n in (0, 1)
        )
        assert after <= 0.5 * before
        # Subsets of the own data centre do not add traffic between data centres.
        assert sum(b.crossed for _, b in plays) <= sum(a.crossed for a, _ in plays)
        for name in ("markdown list", "till price"):
            seconds, in_time = (
                [sum(f(pair[n].outcomes[name]) for pair in plays) for n in (0, 1)]
                for f in (
                    lambda outcome: outcome.mean_seconds,
                    lambda outcome: outcome.in_time_share,
                )
            )
            assert seconds[1] <= 1.03 * seconds[0]
            assert in_time[1] >= in_time[0] - 0.01


class TestRate:
    def test_subset_shrinks_when_requests_stop(self):
        affinity = connection_affinity()
        later = 20.0 + 3 * RATE_WINDOW_SECONDS
        assert affinity.subset_size("vm-0", later) == 1

    def test_start_of_a_small_deployment_is_served_as_before(self):
        # The rate of the first requests is not known yet. Taken for low, it made each
        # deployment choose by connections in its first second.
        affinity = ConnectionAffinity(centre_of)
        affinity.set_targets(TARGETS[:4])
        for n in range(50):
            affinity.record_granted(vm_name(n % 3), "none", n * 0.02)
            assert not affinity.is_active(n * 0.02)
