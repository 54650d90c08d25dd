"""Thresholds of admission, queueing and the ramp after a cold start."""

from __future__ import annotations

from berylstage_policy.threshold import Threshold

QUEUE_THRESHOLDS = [
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
]
