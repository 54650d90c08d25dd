"""The table of all named thresholds: defaults, units, ranges and reasons."""

from __future__ import annotations


class Threshold:
    """One named threshold.

    Parameters
    ----------
    name : str
    default : float
    unit : str
        Unit of the value, such as ``s`` or ``ratio``.
    low, high : float
        Range of values that make sense, both ends included.
    overridable : bool
        Whether operators may override it through the sheet. What guards an
        invariant may not be.
    why : str
        Why the default is what it is.
    """

    __slots__ = ("name", "default", "unit", "low", "high", "overridable", "why")

    def __init__(
        self,
        name: str,
        default: float,
        unit: str,
        low: float,
        high: float,
        overridable: bool,
        why: str,
    ):
        self.name = name
        self.default = default
        self.unit = unit
        self.low = low
        self.high = high
        self.overridable = overridable
        self.why = why


_ROWS = [
    Threshold(
        "balance_high",
        1.10,
        "times mean level",
        1.02,
        3.0,
        True,
        "A target above it gives shards away. Below the promised imbalance of 1.15, "
        "with room for the fluctuation of load between two plans.",
    ),
    Threshold(
        "balance_settled_high",
        1.04,
        "times mean level",
        1.0,
        2.0,
        True,
        "Where giving away stops. The gap to balance_high is the hysteresis: load "
        "has to drift by 6% before keys move again.",
    ),
    Threshold(
        "balance_low",
        0.75,
        "times mean level",
        0.0,
        0.98,
        True,
        "A target below it takes shards. One new target among many lifts none of the "
        "others over balance_high, and would otherwise stay empty.",
    ),
    Threshold(
        "balance_settled_low",
        0.92,
        "times mean level",
        0.0,
        1.0,
        True,
        "Where taking stops: near the mean, but without taking the last few shards.",
    ),
    Threshold(
        "balance_repack_gain",
        0.12,
        "times mean level",
        0.0,
        1.0,
        True,
        "Dividing two targets' shards anew takes several moves, so it has to lower the "
        "higher of the two by more than single moves leave.",
    ),
    Threshold(
        "cost_gain",
        0.1,
        "share",
        0.01,
        0.5,
        True,
        "Weight of the newest service time: ten answers, under a second of traffic "
        "for a busy slot, take over the estimate, and one outlier doesn't.",
    ),
    Threshold(
        "cost_default",
        0.02,
        "s",
        0.001,
        10.0,
        True,
        "Service time before anything was observed; the first answer replaces it.",
    ),
    Threshold(
        "long_ratio",
        5.0,
        "times typical service time",
        2.0,
        100.0,
        True,
        "Work from there on is long. Below about 5 the reserve costs slots without "
        "shortening the wait that it protects from.",
    ),
    Threshold(
        "long_floor",
        0.1,
        "s",
        0.0,
        60.0,
        True,
        "Work below it is never long: a tenth of a second is a wait that people who "
        "are served live don't notice.",
    ),
    Threshold(
        "short_presence",
        5.0,
        "s",
        0.1,
        300.0,
        True,
        "How long after short work was last offered one slot stays closed to long "
        "work. Longer than the gaps in live traffic, short enough that the night "
        "has all slots.",
    ),
    Threshold(
        "short_load_window",
        5.0,
        "s",
        0.1,
        300.0,
        True,
        "Window of the load of short work, from which its reserve is sized: hundreds "
        "of requests in live traffic, and over before a reconciliation's next piece.",
    ),
    Threshold(
        "reserve_utilisation",
        0.35,
        "share",
        0.05,
        1.0,
        True,
        "How busy short work may keep the slots reserved for it. At a third busy, "
        "queueing adds less than half a service time to its slowest hundredth.",
    ),
    Threshold(
        "short_weight",
        4.0,
        "times the weight of long work",
        1.0,
        100.0,
        True,
        "Share of slot time for short work where both wait; long work keeps a fifth, "
        "so that it is never starved.",
    ),
    Threshold(
        "weight_interactive",
        8.0,
        "weight",
        0.1,
        100.0,
        True,
        "Share of slot time for people who wait live, against standard and batch.",
    ),
    Threshold(
        "weight_standard",
        4.0,
        "weight",
        0.1,
        100.0,
        True,
        "Share of slot time for work without a class of its own.",
    ),
    Threshold(
        "weight_batch",
        1.0,
        "weight",
        0.1,
        100.0,
        True,
        "Share of slot time for batch work: small, but never nothing.",
    ),
    Threshold(
        "queue_limit",
        256.0,
        "tickets",
        1.0,
        10000.0,
        True,
        "Bounds the memory of a target's queue. Deadlines turn work away long before, "
        "except for bursts of very short work.",
    ),
    Threshold(
        "returning_work",
        2.5,
        "times what waits",
        1.0,
        100.0,
        True,
        "Work expected to pass a newcomer, at most: neighbours come back while it "
        "waits. Less refuses too late under overload, more refuses too much in stalls.",
    ),
    Threshold(
        "wait_share",
        0.8,
        "share of the time left",
        0.1,
        1.0,
        True,
        "Work is let in when its wait and service are expected to end within this "
        "share of its time; the rest covers the error of the estimate.",
    ),
    Threshold(
        "retry_after_floor",
        0.2,
        "s",
        0.0,
        60.0,
        True,
        "Least time before a refused caller returns: ten service times, after which "
        "the queue is another.",
    ),
    Threshold(
        "retry_after_ceiling",
        30.0,
        "s",
        1.0,
        3600.0,
        True,
        "Longest wish to stay away: by then the load is another.",
    ),
    Threshold(
        "ramp_completions",
        10.0,
        "answers",
        1.0,
        1000.0,
        False,
        "Answers on one level of the ramp before the next. Enough that their mean "
        "tells a cold target, several times slower, from a warm one.",
    ),
    Threshold(
        "ramp_slow_ratio",
        1.6,
        "times warm service time",
        1.0,
        10.0,
        False,
        "A level whose mean is slower counts as still cold. Half way between warm "
        "and the two to three times that a cold target takes.",
    ),
    Threshold(
        "ramp_patience",
        6.0,
        "windows",
        1.0,
        1000.0,
        False,
        "After so many windows of slow answers on one level the target is slow rather "
        "than cold, and goes on. Also for a target of which no warm answer is known.",
    ),
    Threshold(
        "confirm_silence",
        0.6,
        "s",
        0.1,
        10.0,
        False,
        "After so long without an answer or grant that names the incarnation one "
        "request goes alone. Two heartbeats of 0.25 s and some delay.",
    ),
    Threshold(
        "choice_candidates",
        2.0,
        "targets",
        1.0,
        8.0,
        True,
        "Two guesses, of which the better is sent to. As busy targets decline, more of "
        "them gain nothing that could be measured.",
    ),
    Threshold(
        "choice_preferred",
        0.9,
        "times mean occupancy",
        0.0,
        100.0,
        True,
        "Up to there a VM prefers idle targets that it leads itself, which saves the "
        "forward; beyond it the promised balance goes first.",
    ),
    Threshold(
        "choice_declines",
        2.0,
        "targets",
        0.0,
        8.0,
        True,
        "How often a request is handed back by a busy target before it waits. Each "
        "costs a forward of a millisecond, a wait costs a service time.",
    ),
    Threshold(
        "choice_gain",
        0.3,
        "share",
        0.01,
        1.0,
        True,
        "Weight of the newest answer of a target: three answers show that it has "
        "slowed.",
    ),
    Threshold(
        "choice_memory",
        3.0,
        "s",
        0.1,
        60.0,
        True,
        "How long an observation counts. Stalls last moments; a target that is "
        "avoided is tried again after it.",
    ),
    Threshold(
        "straggler_ratio",
        4.0,
        "times typical answer time",
        1.5,
        50.0,
        True,
        "Slower than that is a straggler. Answer times under fair load vary by less.",
    ),
    Threshold(
        "straggler_avoided",
        60.0,
        "s",
        1.0,
        600.0,
        True,
        "Longest time for which a target that is found slow again and again is left "
        "alone; each time doubles it from choice_memory.",
    ),
    Threshold(
        "retry_share",
        0.1,
        "retries for each success",
        0.0,
        1.0,
        True,
        "A failing service gets at most a tenth more load by retries.",
    ),
    Threshold(
        "retry_reserve",
        10.0,
        "retries",
        0.0,
        1000.0,
        True,
        "Retries without recent success: covers the few requests in flight when one "
        "target is lost, and no more.",
    ),
    Threshold(
        "retry_attempts",
        3.0,
        "attempts",
        1.0,
        10.0,
        True,
        "After two retries the fault isn't one of a single target.",
    ),
    Threshold(
        "retry_delay",
        0.02,
        "s",
        0.0,
        10.0,
        True,
        "Most that the first retry waits, doubled for each: about one service time, "
        "so that a target which sheds has freed a slot.",
    ),
    Threshold(
        "hedge_share",
        0.05,
        "hedges for each success",
        0.0,
        0.5,
        True,
        "A twentieth more load at most. Answers slower than the 95th percentile are a "
        "twentieth, so it suffices.",
    ),
    Threshold(
        "hedge_reserve",
        5.0,
        "hedges",
        0.0,
        1000.0,
        True,
        "Hedges in a row when one target stalls with all its slots.",
    ),
    Threshold(
        "hedge_quantile",
        0.95,
        "quantile",
        0.5,
        0.999,
        True,
        "Answers that take longer than these are hedged.",
    ),
    Threshold(
        "hedge_step",
        0.05,
        "share",
        0.001,
        0.5,
        True,
        "Pace at which the hedge delay follows the quantile: within a hundred answers.",
    ),
    Threshold(
        "hedge_least_delay",
        0.005,
        "s",
        0.0,
        10.0,
        True,
        "Never hedge sooner: a forward between VMs and a fresh connection take 2 ms.",
    ),
    Threshold(
        "stall_after",
        0.3,
        "s",
        0.05,
        10.0,
        True,
        "Silence from which a target counts as stalled: one heartbeat of 0.25 s "
        "missed.",
    ),
    Threshold(
        "down_after",
        1.25,
        "s",
        0.5,
        30.0,
        False,
        "Silence from which the keys move: a lease time of 1 s, before whose end "
        "moving can't make a key available sooner, and a heartbeat, by which a stall "
        "looks longer than it is. Later would endanger the 2 s in which a lost "
        "target's keys are served again.",
    ),
    Threshold(
        "refused_down_after",
        0.4,
        "s",
        0.1,
        30.0,
        False,
        "Nothing listens on the address: the process is gone, and with it its grants. "
        "Longer than a quick restart on the same address needs.",
    ),
    Threshold(
        "slow_ratio",
        3.0,
        "times median service time",
        1.2,
        50.0,
        True,
        "A target that answers, but so much slower than its peers for slow_after, "
        "gets fewer keys.",
    ),
    Threshold(
        "slow_after",
        15.0,
        "s",
        1.0,
        3600.0,
        True,
        "Fifteen times what a move costs; a neighbour's disturbance of moments is "
        "over.",
    ),
    Threshold(
        "least_capacity",
        0.25,
        "share of slots",
        0.01,
        1.0,
        True,
        "A slow target keeps a quarter of its share, so that its recovery can be seen.",
    ),
    Threshold(
        "hot_counters",
        512.0,
        "counters",
        16.0,
        65536.0,
        True,
        "Any key with 1/512 of the VM's work has a counter. A key that is worth a "
        "shard has several times that; about 100 kB.",
    ),
    Threshold(
        "hot_half_life",
        10.0,
        "s",
        1.0,
        600.0,
        True,
        "The hottest keys change within minutes; after 10 s a new one has half its "
        "weight.",
    ),
    Threshold(
        "hot_enter",
        0.2,
        "share of a target's slots",
        0.01,
        1.0,
        True,
        "Set apart from a fifth of a target: a lighter key fits within the balance "
        "band.",
    ),
    Threshold(
        "hot_leave",
        0.05,
        "share of a target's slots",
        0.0,
        1.0,
        True,
        "Give back below a twentieth; the gap of four is the hysteresis.",
    ),
    Threshold(
        "hot_leave_after",
        60.0,
        "s",
        1.0,
        3600.0,
        True,
        "Cool for so long first: each way back is a move of the key.",
    ),
    Threshold(
        "hot_most",
        64.0,
        "keys",
        0.0,
        4096.0,
        True,
        "Keys set apart for each service: the hottest 50 and those that cool down.",
    ),
]

TABLE: dict[str, Threshold] = {row.name: row for row in _ROWS}
