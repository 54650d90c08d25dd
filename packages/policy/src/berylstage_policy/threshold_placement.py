"""Thresholds of shard placement, target health and hot key detection."""

from __future__ import annotations

from berylstage_policy.threshold import Threshold

PLACEMENT_THRESHOLDS = [
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
        "Nothing listens on the address, or a cut resets its connections; its grants "
        "run on. Longer than a quick restart on the same address needs.",
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
