"""Thresholds of target selection, retries and hedging."""

from __future__ import annotations

from berylstage_policy.threshold import Threshold

ROUTING_THRESHOLDS = [
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
]
