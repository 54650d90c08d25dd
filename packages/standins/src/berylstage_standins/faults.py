"""Fault switches of the stand-ins, set through ``POST /faults``."""

from __future__ import annotations


class Faults:
    """Base of the sets of switches: a class with slots and a default for each.

    A subclass names its switches and their defaults in ``DEFAULTS``.
    """

    __slots__ = ()

    DEFAULTS: dict[str, bool | int | float | str] = {}

    def __init__(self) -> None:
        for name, default in self.DEFAULTS.items():
            setattr(self, name, default)

    def set(self, doc: dict[str, bool | int | float | str]) -> None:
        """Set the switches that a document names and leave the others.

        Parameters
        ----------
        doc : dict
            Value by switch.

        Raises
        ------
        ValueError
            A switch is unknown or its value has the wrong type; nothing was set.
        """
        for name, value in doc.items():
            if name not in self.DEFAULTS:
                known = ", ".join(sorted(self.DEFAULTS))
                raise ValueError(f"no switch {name!r}; take one of: {known}")
            if not _fits(value, self.DEFAULTS[name]):
                kind = type(self.DEFAULTS[name]).__name__
                raise ValueError(f"switch {name!r} takes a value of type {kind}")
        for name, value in doc.items():
            setattr(self, name, value)

    def as_dict(self) -> dict[str, bool | int | float | str]:
        """Return the value of each switch."""
        return {name: getattr(self, name) for name in self.DEFAULTS}


def _fits(value: object, default: object) -> bool:
    """Tell whether a value has the type of the default; whole numbers are floats."""
    if isinstance(default, float):
        return isinstance(value, int | float) and not isinstance(value, bool)
    return type(value) is type(default)


class PlatformFaults(Faults):
    """Fault switches of the platform.

    Attributes
    ----------
    down : str
        ``""``, ``silent`` (calls get no answer), ``closed`` (connections close without
        an answer) or ``error`` (status 503).
    down_for : str
        Limits ``down`` to paths that start so.
    slow_ms : int
        Milliseconds before a call takes effect.
    slow_answer_ms : int
        Milliseconds between the effect of a write and its answer.
    lose_answers : int
        That many of the next writes take effect and get no answer.
    lose_by_close : bool
        Whether a lost answer closes its connection or leaves it silent.
    watch_silent : bool
        Watches neither answer nor time out.
    """

    __slots__ = (
        "down",
        "down_for",
        "lose_answers",
        "lose_by_close",
        "slow_answer_ms",
        "slow_ms",
        "watch_silent",
    )

    DEFAULTS = {
        "down": "",
        "down_for": "/",
        "slow_ms": 0,
        "slow_answer_ms": 0,
        "lose_answers": 0,
        "lose_by_close": False,
        "watch_silent": False,
    }

    down: str
    down_for: str
    slow_ms: int
    slow_answer_ms: int
    lose_answers: int
    lose_by_close: bool
    watch_silent: bool


class TargetFaults(Faults):
    """Fault switches of a target.

    Attributes
    ----------
    freeze : bool
        Connections are accepted and nothing is answered until it is switched off; then
        all goes on as if nothing had happened.
    frozen_reports : bool
        Health and load are answered even during a freeze, which misleads.
    slow_factor : float
        Multiplies the time of work.
    cross_answers : int
        That many of the next answers to work are those of another request.
    short_answers : int
        That many of the next answers to work break off in the body.
    lost_answers : int
        That many of the next answers to work never come: the work is done and the
        connection closes.
    unwilling : bool
        Grants are refused.
    shed : bool
        Work is refused.
    draining : bool
        Grants and new work are refused; work in progress ends.
    report_running : int
        Running jobs that the load report claims; -1 for the truth.
    report_cold : str
        ``""`` for the truth, else ``yes`` or ``no``.
    """

    __slots__ = (
        "cross_answers",
        "draining",
        "freeze",
        "frozen_reports",
        "lost_answers",
        "report_cold",
        "report_running",
        "shed",
        "short_answers",
        "slow_factor",
        "unwilling",
    )

    DEFAULTS = {
        "freeze": False,
        "frozen_reports": False,
        "slow_factor": 1.0,
        "cross_answers": 0,
        "short_answers": 0,
        "lost_answers": 0,
        "unwilling": False,
        "shed": False,
        "draining": False,
        "report_running": -1,
        "report_cold": "",
    }

    freeze: bool
    frozen_reports: bool
    slow_factor: float
    cross_answers: int
    short_answers: int
    lost_answers: int
    unwilling: bool
    shed: bool
    draining: bool
    report_running: int
    report_cold: str
