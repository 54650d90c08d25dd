"""What each rule is worth, and how much its thresholds matter."""

from __future__ import annotations

from berylstage_policy.thresholds import DEFAULTS

from berylstage_bench.policy_jobs import Job

# A threshold at such a value switches its rule off.
OFF = 1e9

SLOW = "slow 1 of 12 contract-book"
STALLS = "stalls contract-book"
UNEVEN = "uneven balancer contract-book"
FLOOD = "flood contract-book"
BURST = "burst contract-book"
OVERLOAD = "overload 2 contract-book"
LONG = "long among short 0.25 field-log"
LONG_3 = "long among short 0.25 slotdesk"
HOT = "hot keys move field-log"
HOT_FEW = "hot keys move field-log, 24 shards"
REOPEN = "shymkent-a closes, reopens"
COLD = "cold 30x3 field-log"
COLD_LIES = "cold 30x3 field-log lies"
STEADY = "steady 0.6 contract-book"
STEADY_OWNED = "steady 0.6 field-log"


class Ablation:
    """One rule switched off in the scenario that it is for."""

    __slots__ = ("rule", "measure", "job")

    def __init__(
        self,
        rule: str,
        scenario: str,
        measure: str,
        changed: dict[str, float] | None = None,
        options: dict | None = None,
    ):
        self.rule = rule
        self.measure = measure
        self.job = Job(scenario, changed=changed, options=options)


ABLATIONS = [
    Ablation("avoid stragglers", SLOW, "p99.9 ms", {"straggler_ratio": OFF}),
    Ablation("avoid longer each time", SLOW, "p99.9 ms", {"straggler_avoided": 3.0}),
    Ablation("hedges", STALLS, "p99 ms", {"hedge_share": 0.0, "hedge_reserve": 0.0}),
    Ablation("busy targets decline", STEADY, "p99 ms", {"choice_declines": 0.0}),
    Ablation("two candidates, not one", SLOW, "p99 ms", {"choice_candidates": 1.0}),
    Ablation("two candidates, not all", STEADY, "p99 ms", {"choice_candidates": 12.0}),
    Ablation("prefer led idle targets", STEADY, "p50 ms", {"choice_preferred": 0.0}),
    Ablation("unless worn", UNEVEN, "imbalance", {"choice_preferred": OFF}),
    Ablation("turns of callers", FLOOD, "p99 ms", options={"one_caller": True}),
    Ablation(
        "reserve for short work", LONG, "short p99 / alone", {"short_presence": 0.0}
    ),
    Ablation(
        "reserve sized by load",
        LONG_3,
        "short p99 / alone",
        {"reserve_utilisation": OFF},
    ),
    Ablation(
        "refuse at the door", OVERLOAD, "refused after p90 ms", {"wait_share": OFF}
    ),
    Ablation(
        "class weights",
        OVERLOAD,
        "in time interactive",
        {"weight_interactive": 1.0, "weight_standard": 1.0},
    ),
    Ablation(
        "slow answers aren't warm", COLD_LIES, "bound broken", {"ramp_slow_ratio": OFF}
    ),
    Ablation(
        "ramp",
        COLD,
        "bound broken",
        {"ramp_slow_ratio": OFF, "ramp_completions": 1.0},
    ),
    Ablation(
        "balancing moves", HOT, "imbalance", {"balance_high": OFF, "balance_low": 0.0}
    ),
    Ablation(
        "two targets divided anew", HOT_FEW, "imbalance", {"balance_repack_gain": OFF}
    ),
    Ablation(
        "own time to return",
        "burst, callers return",
        "answered in the end",
        options={"fixed_return": 1.0},
    ),
    Ablation(
        "believe a report of cold",
        "cold 30x1 field-log",
        "bound broken",
        options={"lies_warm": True},
    ),
    Ablation(
        "hot keys set apart", HOT_FEW, "imbalance", options={"has_hot_keys": False}
    ),
    Ablation(
        "hysteresis of balance",
        STEADY_OWNED,
        "moves",
        {"balance_high": 1.02, "balance_settled_high": 1.01},
    ),
    Ablation("budget of moves", REOPEN + " cold", "p99 ms", options={"budget": 1000}),
    Ablation(
        "fewer keys on slow targets",
        "slow 1 of 12, owned",
        "p99 ms settled",
        {"least_capacity": 1.0},
    ),
    Ablation(
        "no moves for a stall",
        "stalls field-log",
        "verdicts of down",
        {"down_after": 0.3},
    ),
]


class Sensitivity:
    """One threshold at half and at double, or at the values that are given."""

    __slots__ = ("threshold", "scenario", "measure", "low", "high")

    def __init__(
        self,
        threshold: str,
        scenario: str,
        measure: str,
        low: float | None = None,
        high: float | None = None,
    ):
        default = DEFAULTS[threshold]
        self.threshold = threshold
        self.scenario = scenario
        self.measure = measure
        self.low = default / 2 if low is None else low
        self.high = default * 2 if high is None else high

    def job(self, value: float) -> Job:
        """Return the play with the threshold at a value."""
        return Job(self.scenario, changed={self.threshold: value})


SENSITIVITIES = [
    Sensitivity("straggler_ratio", SLOW, "p99.9 ms"),
    Sensitivity("choice_memory", SLOW, "p99.9 ms"),
    Sensitivity("choice_gain", SLOW, "p99 ms"),
    Sensitivity("choice_declines", STEADY, "p99 ms"),
    Sensitivity("choice_preferred", UNEVEN, "imbalance"),
    Sensitivity("hedge_share", STALLS, "p99 ms"),
    Sensitivity("hedge_quantile", STALLS, "p99 ms", 0.9, 0.975),
    Sensitivity("wait_share", BURST, "in time", 0.4, 1.0),
    Sensitivity("wait_share", OVERLOAD, "p99 interactive ms", 0.4, 1.0),
    Sensitivity("returning_work", "overload 1.2 contract-book", "refused after p90 ms"),
    Sensitivity("returning_work", "stalls field-log", "p99 ms"),
    Sensitivity("cost_gain", OVERLOAD, "goodput"),
    Sensitivity("queue_limit", OVERLOAD, "goodput"),
    Sensitivity("short_presence", LONG, "short p99 / alone"),
    Sensitivity("reserve_utilisation", LONG_3, "short p99 / alone"),
    Sensitivity("short_weight", OVERLOAD, "in time batch"),
    Sensitivity("weight_interactive", OVERLOAD, "in time interactive"),
    Sensitivity("ramp_completions", COLD_LIES, "bound broken"),
    Sensitivity("ramp_completions", COLD, "full pace / least"),
    Sensitivity("ramp_slow_ratio", COLD_LIES, "bound broken", 1.3, 2.2),
    Sensitivity("balance_high", REOPEN, "churn / least", 1.05, 1.2),
    Sensitivity("balance_high", REOPEN, "imbalance", 1.05, 1.2),
    Sensitivity("balance_low", REOPEN, "churn / least", 0.5, 0.9),
    Sensitivity("balance_repack_gain", HOT_FEW, "imbalance"),
    Sensitivity("balance_repack_gain", HOT_FEW, "moves"),
    Sensitivity("hot_enter", HOT_FEW, "imbalance"),
    Sensitivity("hot_enter", HOT_FEW, "moves"),
    Sensitivity("hot_half_life", HOT_FEW, "imbalance"),
    Sensitivity("slow_after", "slow 1 of 12, owned", "in time"),
]
