"""Every scenario of the bench, with its measures and goals."""

from __future__ import annotations

from berylstage_bench.policy_cold import cold_scenarios
from berylstage_bench.policy_goals import (
    CLOSED,
    EARLY,
    GAP,
    GOODPUT,
    IMBALANCE,
    LEASE,
    MOVES,
    NO_MOVES,
    REOPENED,
    SHARE,
    VM_GAP,
    WARM_UP,
    answered_p99,
    class_share,
    most_moves,
    p,
    p99_goal,
    settled,
)
from berylstage_bench.policy_loads import (
    CONTRACT_BOOK,
    COURSEBOOK,
    FIELD_LOG,
    SLOTDESK,
    Deployment,
    Stream,
    lookups,
    orders,
    polls,
    reconciliation,
)
from berylstage_bench.policy_measures import (
    between,
    group_outage,
    in_time,
    latency_ms,
    refusal_ms,
    select,
)
from berylstage_bench.policy_owned import SHARDS, OwnedRouter
from berylstage_bench.policy_player import ColdTruth
from berylstage_bench.policy_scenarios import (
    Measure,
    Run,
    Scenario,
    close_and_reopen,
    lie_about_load,
    lose_target,
    lose_vm,
    read_busy_at,
    slow_down,
    stall_now_and_then,
)


def steady(deployment: Deployment, is_owned: bool) -> Scenario:
    """Return everyday load: the rules must not cost what they save elsewhere."""
    return Scenario(
        f"steady 0.6 {deployment.name}",
        deployment,
        [lookups(0.45), orders(0.15)],
        40.0,
        [p(0.5), p(0.99), p(0.999), SHARE, IMBALANCE, *([MOVES] if is_owned else [])],
        read_busy_at({"settled": WARM_UP}),
        is_owned=is_owned,
    )


def overload(times: float, deployment: Deployment, is_owned: bool) -> Scenario:
    """Return saturation by all classes, each with as much as its share."""
    third = times / 3
    return Scenario(
        f"overload {times:g} {deployment.name}",
        deployment,
        [lookups(third), orders(third), polls(third)],
        20.0,
        [
            GOODPUT,
            class_share("interactive"),
            class_share("standard"),
            class_share("batch"),
            Measure("p99 interactive ms", answered_p99),
            Measure(
                "refused after p90 ms",
                lambda run: refusal_ms(run.requests, 0.9),
                lambda ours, best: ours <= 1000.0,
                "1000",
                why_not_compared="none refuse",
            ),
        ],
        is_owned=is_owned,
    )


def flood(deployment: Deployment) -> Scenario:
    """Return one caller that sends as much as all targets bear."""
    others = {"request_class": "interactive", "kind": "lookup"}
    script = Stream("scan", "interactive", 0.030, 1.2, 1.0, 1, prefix="script")
    return Scenario(
        f"flood {deployment.name}",
        deployment,
        [lookups(0.3), script],
        20.0,
        [
            Measure(
                "others in time",
                lambda run: in_time(select(settled(run), **others)),
                lambda ours, best: ours >= 0.99,
                "0.99",
                is_higher_better=True,
            ),
            p(0.99, **others),
            GOODPUT,
        ],
    )


def long_among_short(deployment: Deployment, load: float, is_owned: bool) -> Scenario:
    """Return the reconciliation behind morning traffic."""
    alone = Scenario("", deployment, [lookups(load)], 60.0, [], is_owned=is_owned)

    def ratio(run: Run) -> float:
        if not hasattr(alone, "figure"):
            kind = OwnedRouter if is_owned else type(run.router)
            found = settled(alone.play(kind))
            alone.figure = latency_ms(found, 0.99)  # type: ignore[attr-defined]
        short = select(settled(run), kind="lookup")
        return latency_ms(short, 0.99) / alone.figure  # type: ignore[attr-defined]

    return Scenario(
        f"long among short {load:g} {deployment.name}",
        deployment,
        [lookups(load), reconciliation(0.3, start=3.0, end=40.0)],
        60.0,
        [
            Measure(
                "short p99 / alone",
                ratio,
                lambda ours, best: ours <= 2.0,
                "2",
            ),
            p(0.99, kind="lookup"),
            Measure(
                "long in time",
                lambda run: in_time(select(run.requests, kind="reconcile")),
                is_higher_better=True,
            ),
        ],
        is_owned=is_owned,
    )


def hot_keys(deployment: Deployment, shards: int = SHARDS) -> Scenario:
    """Return ten keys that take half of the load, and ten others later."""
    suffix = "" if shards == SHARDS else f", {shards} shards"
    first = {f"hot-{i}": 0.05 for i in range(10)}
    second = {f"hot-{i}": 0.05 for i in range(10, 20)}
    return Scenario(
        f"hot keys move {deployment.name}{suffix}",
        deployment,
        [
            lookups(0.55, end=60.0, hot_keys=first),
            lookups(0.55, start=60.0, hot_keys=second),
        ],
        120.0,
        [
            IMBALANCE,
            MOVES,
            p(0.99),
            Measure(
                "p99 ms settled",
                lambda run: latency_ms(between(run.requests, 90.0, 120.0), 0.99),
            ),
            SHARE,
        ],
        read_busy_at({"settled": 90.0}),
        is_owned=True,
        options={"shards": shards},
    )


def data_centre(
    deployment: Deployment, name: str, cold: ColdTruth | None = None
) -> Scenario:
    """Return a data centre that is closed for half a minute and may return cold."""
    least = (
        2
        * SHARDS
        * sum(deployment.data_centre(i) == name for i in range(deployment.targets))
    )

    def churn(run: Run) -> float:
        if not isinstance(run.router, OwnedRouter):
            return 1.0
        moves = [move for at, move in run.router.moves if at >= CLOSED]
        return len(moves) * deployment.targets / least

    return Scenario(
        f"{name} closes, reopens" + (" cold" if cold else ""),
        deployment,
        [lookups(0.5)],
        100.0,
        [
            Measure("churn / least", churn, lambda ours, best: ours <= 1.2, "1.2"),
            Measure("most moves of a key", most_moves, lambda o, b: o <= 2, "2"),
            SHARE,
            p(0.99, GAP),
            p(0.999, GAP),
            IMBALANCE,
        ],
        close_and_reopen(name, CLOSED, REOPENED, cold),
        is_owned=True,
    )


def target_lost(deployment: Deployment, is_owned: bool) -> Scenario:
    """Return a target that is lost and comes back."""
    return Scenario(
        f"target lost {deployment.name}",
        deployment,
        [lookups(0.5)],
        40.0,
        [
            SHARE,
            Measure("outage key-group s", group_outage),
            p(0.99),
            p(0.999),
        ],
        lose_target(2, 10.0, 20.0),
        is_owned=is_owned,
    )


def vm_lost(deployment: Deployment, is_owned: bool) -> Scenario:
    """Return a VM that is lost; to plain routers this is just a steady load."""
    return Scenario(
        f"VM lost {deployment.name}",
        deployment,
        [lookups(0.5)],
        30.0,
        [
            SHARE,
            Measure("outage key-group s", group_outage, bound=LEASE),
            p(0.99, LEASE),
            p(0.999, LEASE),
        ],
        lose_vm(2, 10.0, VM_GAP),
        is_owned=is_owned,
    )


def scenarios() -> list[Scenario]:
    """Return all scenarios, in the order of the table."""
    tails = [p(0.5), p99_goal(3.0), p(0.999), SHARE]
    book = CONTRACT_BOOK
    mixed = [lookups(0.45), orders(0.15)]
    uneven = [10.0] + [1.0] * (book.vms - 1)
    burst = [lookups(0.4), lookups(1.6, start=8.0, end=9.0, prefix="burst")]
    lying = lie_about_load(3)
    stalls = stall_now_and_then(38.0)
    slow = slow_down(3, 2.0, 1e9, 0.1)
    return [
        steady(CONTRACT_BOOK, False),
        steady(COURSEBOOK, False),
        steady(FIELD_LOG, True),
        steady(SLOTDESK, True),
        Scenario("slow 1 of 12 contract-book", book, mixed, 30.0, tails, slow),
        Scenario("slow 1 of 12 coursebook", COURSEBOOK, mixed, 30.0, tails, slow),
        Scenario("stalls contract-book", book, mixed, 40.0, tails, stalls),
        Scenario(
            "stalls field-log",
            FIELD_LOG,
            [lookups(0.5)],
            40.0,
            [p(0.99), p(0.999, EARLY), SHARE, NO_MOVES],
            stalls,
            is_owned=True,
        ),
        Scenario("reports lie contract-book", book, mixed, 20.0, tails, lying),
        Scenario(
            "slow 1 of 12, owned",
            FIELD_LOG,
            [lookups(0.45)],
            90.0,
            [
                p(0.5),
                Measure(
                    "p99 ms settled",
                    lambda run: latency_ms(between(run.requests, 70.0, 90.0), 0.99),
                    lambda ours, best: ours * 3 <= best,
                    "best / 3",
                ),
                SHARE,
            ],
            slow_down(3, 5.0, 1e9, 0.25),
            is_owned=True,
        ),
        Scenario(
            "burst contract-book",
            book,
            burst,
            15.0,
            [p(0.5), p(0.99), SHARE],
        ),
        Scenario(
            "burst, callers return",
            FIELD_LOG,
            [lookups(0.4), lookups(4.0, start=8.0, end=10.0, prefix="burst")],
            30.0,
            [
                Measure(
                    "answered in the end",
                    lambda run: len(run.reached) / len(run.requests),
                    is_higher_better=True,
                ),
                Measure(
                    "returns per request",
                    lambda run: run.returned / len(run.requests),
                ),
                Measure(
                    "in time at first",
                    lambda run: in_time(settled(run)),
                    is_higher_better=True,
                ),
            ],
            is_owned=True,
            returns=True,
        ),
        Scenario(
            "uneven balancer contract-book",
            book,
            mixed,
            30.0,
            [p(0.5), p(0.99), p(0.999), SHARE, IMBALANCE],
            read_busy_at({"settled": WARM_UP}),
            vm_shares=uneven,
        ),
        overload(1.2, CONTRACT_BOOK, False),
        overload(2.0, CONTRACT_BOOK, False),
        overload(2.0, SLOTDESK, True),
        flood(CONTRACT_BOOK),
        long_among_short(FIELD_LOG, 0.1, True),
        long_among_short(FIELD_LOG, 0.25, True),
        long_among_short(SLOTDESK, 0.25, True),
        hot_keys(FIELD_LOG),
        hot_keys(FIELD_LOG, 24),
        data_centre(FIELD_LOG, "shymkent-a"),
        data_centre(SLOTDESK, "gb-pohang"),
        data_centre(FIELD_LOG, "shymkent-a", ColdTruth(30, 3.0)),
        target_lost(FIELD_LOG, True),
        target_lost(CONTRACT_BOOK, False),
        vm_lost(FIELD_LOG, True),
        vm_lost(CONTRACT_BOOK, False),
        *cold_scenarios(),
    ]
