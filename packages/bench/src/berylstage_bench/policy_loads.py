"""The deployments and the loads that are played on them."""

from __future__ import annotations

from random import Random

from berylstage_bench.policy_player import Request


class Deployment:
    """Sizes of one service of the brief.

    Parameters
    ----------
    name : str
    targets, slots, vms : int
    data_centres : list of str
    hop : float
        Seconds between data centres there and back, paid by a forward.
    """

    __slots__ = ("name", "targets", "slots", "vms", "data_centres", "hop")

    def __init__(
        self,
        name: str,
        targets: int,
        slots: int,
        vms: int,
        data_centres: list[str],
        hop: float,
    ):
        self.name = name
        self.targets = targets
        self.slots = slots
        self.vms = vms
        self.data_centres = data_centres
        self.hop = hop

    def data_centre(self, index: int) -> str:
        """Return the data centre of a target."""
        return self.data_centres[index % len(self.data_centres)]


ALMATY = ["almaty-a", "almaty-b", "shymkent-a", "taraz-a"]
GYEONGBUK = ["gb-andong", "gb-pohang", "gb-gumi"]
CONTRACT_BOOK = Deployment("contract-book", 12, 2, 11, ALMATY, 0.001)
COURSEBOOK = Deployment("coursebook", 12, 3, 10, GYEONGBUK, 0.0015)
FIELD_LOG = Deployment("field-log", 12, 2, 11, ALMATY, 0.001)
SLOTDESK = Deployment("slotdesk", 13, 3, 10, GYEONGBUK, 0.0015)


class Stream:
    """One kind of requests within a load.

    Parameters
    ----------
    kind, request_class : str
    demand : float
        Mean slot-seconds of a request.
    load : float
        Share of the deployment's slots that the stream keeps busy.
    deadline : float
        Seconds.
    callers : int
        Callers among whom the requests are spread evenly.
    start, end : float
        When it is offered; the end of the play by default.
    keys : int
    hot_keys : dict of str to float, optional
        Share of the requests for single keys.
    prefix : str
        Names the callers.
    """

    def __init__(
        self,
        kind: str,
        request_class: str,
        demand: float,
        load: float,
        deadline: float,
        callers: int = 200,
        start: float = 0.0,
        end: float = float("inf"),
        keys: int = 5000,
        hot_keys: dict[str, float] | None = None,
        prefix: str = "caller",
    ):
        self.kind = kind
        self.request_class = request_class
        self.demand = demand
        self.load = load
        self.deadline = deadline
        self.callers = callers
        self.start = start
        self.end = end
        self.keys = keys
        self.hot_keys = hot_keys or {}
        self.prefix = prefix

    def requests(
        self, deployment: Deployment, seconds: float, rng: Random, vms: list[float]
    ) -> list[Request]:
        """Return the stream's requests, as a Poisson process.

        Service times follow a gamma distribution of shape 2: scattered, but without a
        tail so heavy that it alone would set the 99th percentile.
        """
        rate = self.load * deployment.targets * deployment.slots / self.demand
        found: list[Request] = []
        now = self.start + rng.expovariate(rate)
        while now < min(seconds, self.end):
            found.append(
                Request(
                    f"{self.kind}-{self.prefix}-{len(found)}-{self.start:g}",
                    self.request_class,
                    f"{self.prefix}-{rng.randrange(self.callers)}",
                    self.kind,
                    self._key(rng),
                    rng.choices(range(deployment.vms), vms)[0],
                    now,
                    now + self.deadline,
                    rng.gammavariate(2.0, self.demand / 2.0),
                )
            )
            now += rng.expovariate(rate)
        return found

    def _key(self, rng: Random) -> str:
        """Draw a key."""
        drawn = rng.random()
        for key, share in self.hot_keys.items():
            drawn -= share
            if drawn < 0:
                return key
        return f"key-{rng.randrange(self.keys)}"


def make_load(
    deployment: Deployment,
    streams: list[Stream],
    seconds: float,
    seed: int = 1,
    vm_shares: list[float] | None = None,
) -> list[Request]:
    """Return the requests of all streams, in order of arrival."""
    rng = Random(seed)
    shares = vm_shares or [1.0] * deployment.vms
    found: list[Request] = []
    for stream in streams:
        found.extend(stream.requests(deployment, seconds, rng, shares))
    return sorted(found, key=lambda req: req.arrived)


def lookups(load: float, **options) -> Stream:
    """Return a stream of price-sheet lookups, for which people wait live."""
    return Stream("lookup", "interactive", 0.030, load, 1.0, **options)


def orders(load: float, **options) -> Stream:
    """Return a stream of orders: standard work, twice as long as lookups."""
    return Stream("order", "standard", 0.060, load, 2.0, **options)


def polls(load: float, **options) -> Stream:
    """Return a stream of overnight polls: batch work of the lookups' length."""
    return Stream("poll", "batch", 0.030, load, 5.0, callers=8, **options)


def reconciliation(load: float, **options) -> Stream:
    """Return the contract reconciliation: batch work of seconds."""
    return Stream("reconcile", "batch", 3.0, load, 120.0, callers=2, **options)
