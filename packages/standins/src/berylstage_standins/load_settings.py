"""Settings of the load generator."""

from __future__ import annotations

from argparse import ArgumentTypeError


class Share:
    """Share of one kind of request in the mix.

    Parameters
    ----------
    service, kind : str
    once : bool
        Whether the work must not be repeated, so that requests carry an idempotency
        key.
    weight : float
        Relative frequency in the mix.
    """

    __slots__ = ("kind", "once", "service", "weight")

    def __init__(self, service: str, kind: str, once: bool, weight: float):
        self.service = service
        self.kind = kind
        self.once = once
        self.weight = weight


class LoadSettings:
    """Settings of the load generator.

    Parameters
    ----------
    vms : list of str
        ``host:port`` of each VM.
    mix : list of Share
    callers : int
        Number of callers. Without a rate, each waits for an answer before its next
        request; with a rate, the requests are spread over them.
    rate : float
        Requests per second, independent of the answers; 0 for no fixed rate.
    keys : int
        Number of keys for each service.
    timeout : float
        Seconds that a caller waits for an answer.
    retries : int
        Number of attempts after the first, each through the next VM.
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


def parse_share(text: str) -> Share:
    """Parse the share of one kind of request.

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
        The text has another form.
    """
    name, _, weight = text.partition("=")
    name, _, once = name.partition(":")
    service, _, kind = name.partition("/")
    if not kind or once not in ("", "once"):
        raise ArgumentTypeError(
            f"invalid share {text!r}: use service/kind[:once]=weight"
        )
    return Share(service, kind, once == "once", float(weight or 1))
