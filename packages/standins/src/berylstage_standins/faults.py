"""Fault switches of the simulated servers, set through ``POST /faults``."""

from __future__ import annotations


class Faults:
    """Base class for a set of fault switches.

    A subclass defines its switches and their defaults in ``DEFAULTS``.
    """

    __slots__ = ()

    DEFAULTS: dict[str, bool | int | float | str] = {}

    def __init__(self) -> None:
        for name, default in self.DEFAULTS.items():
            setattr(self, name, default)

    def set(self, doc: dict[str, bool | int | float | str]) -> None:
        """Set the switches named in a document and keep the others.

        Parameters
        ----------
        doc : dict
            Values by the name of the switch.

        Raises
        ------
        ValueError
            A switch is unknown or its value has the wrong type; no switch is changed.
        """
        for name, value in doc.items():
            if name not in self.DEFAULTS:
                known = ", ".join(sorted(self.DEFAULTS))
                raise ValueError(f"unknown switch {name!r}; use one of: {known}")
            if not _fits(value, self.DEFAULTS[name]):
                kind = type(self.DEFAULTS[name]).__name__
                raise ValueError(f"switch {name!r} requires a value of type {kind}")
        for name, value in doc.items():
            setattr(self, name, value)

    def as_dict(self) -> dict[str, bool | int | float | str]:
        """Return the values of all switches by name."""
        return {name: getattr(self, name) for name in self.DEFAULTS}


def _fits(value: object, default: object) -> bool:
    """Return whether a value has the default's type; floats also accept integers."""
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
        Path prefix to which ``down`` is limited.
    slow_ms : int
        Delay in milliseconds before a call takes effect.
    slow_answer_ms : int
        Delay in milliseconds between the effect of a write and its answer.
    lose_answers : int
        Number of next writes that take effect but get no answer.
    lose_by_close : bool
        Whether a lost answer closes its connection; otherwise it stays open.
    watch_silent : bool
        Whether watches neither answer nor time out.
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
        Whether the target accepts connections but answers nothing; once switched off,
        it continues as a resumed process does.
    frozen_reports : bool
        Whether health and load are answered during a freeze, so that the target
        wrongly appears healthy.
    slow_factor : float
        Factor that multiplies the duration of work.
    cross_answers : int
        Number of next answers to work that are replaced by another request's answer.
    short_answers : int
        Number of next answers to work that are truncated within the body.
    lost_answers : int
        Number of next answers to work that are not sent: the work is done, then the
        connection closes.
    unwilling : bool
        Whether grants are refused.
    shed : bool
        Whether work is refused.
    draining : bool
        Whether grants and new work are refused; work in progress completes.
    report_running : int
        Number of running jobs in the load report; -1 reports the actual number.
    report_cold : str
        Cold state in the load report: ``yes`` or ``no``; ``""`` reports the actual one.
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
