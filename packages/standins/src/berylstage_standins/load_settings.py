"""What a load asks of the VMs."""

from __future__ import annotations

from argparse import ArgumentTypeError


class Share:
    """One kind of request in the mix.

    Parameters
    ----------
    service, kind : str
    once : bool
        Whether the work may not be repeated, and gets an idempotency key.
    weight : float
    """

    __slots__ = ("kind", "once", "service", "weight")

    def __init__(self, service: str, kind: str, once: bool, weight: float):
        self.service = service
        self.kind = kind
        self.once = once
        self.weight = weight


class LoadSettings:
    """What is asked of the VMs.

    Parameters
    ----------
    vms : list of str
        ``host:port`` of each VM.
    mix : list of Share
    callers : int
        Callers that wait for each answer before they ask again; with a rate, the
        number of callers that the requests are spread over.
    rate : float
        Requests a second, however slow the answers.
    keys : int
        Keys for each service.
    timeout : float
        Seconds that a caller waits for an answer.
    retries : int
        Attempts after the first, each through another VM.
    seed : int
    """

    __slots__ = (
        "callers",
        "keys",
        "mix",
        "rate",
        "retries",
        "seed",
        "timeout",
        "vms",
    )

    def __init__(
        self,
        vms: list[str],
        mix: list[Share],
        callers: int = 10,
        rate: float = 0.0,
        keys: int = 100,
        timeout: float = 5.0,
        retries: int = 0,
        seed: int = 1,
    ):
        self.vms = vms
        self.mix = mix
        self.callers = callers
        self.rate = rate
        self.keys = keys
        self.timeout = timeout
        self.retries = retries
        self.seed = seed


def read_share(text: str) -> Share:
    """Read one kind of request of the mix.

    Parameters
    ----------
    text : str
        ``service/kind=weight`` or ``service/kind:once=weight``.

    Returns
    -------
    Share

    Raises
    ------
    argparse.ArgumentTypeError
    """
    name, _, weight = text.partition("=")
    name, _, once = name.partition(":")
    service, _, kind = name.partition("/")
    if not kind or once not in ("", "once"):
        raise ArgumentTypeError(f"{text!r}: write service/kind[:once]=weight")
    return Share(service, kind, once == "once", float(weight or 1))
