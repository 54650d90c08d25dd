"""The operators' configuration: what a checked sheet becomes."""

from __future__ import annotations

import json
from enum import Enum

# Where the store holds the configuration.
CONFIGURATION_KEY = "berylstage/configuration"


class Ownership(Enum):
    """Whether the keys of a service have one owning target."""

    OWNED = "owned"
    FREE = "free"


class RequestClass(Enum):
    """How urgent work is: the class sets weight, queue and deadline."""

    INTERACTIVE = "interactive"
    STANDARD = "standard"
    BATCH = "batch"


class DataCentreState(Enum):
    """Whether operators let a data centre take work."""

    OPEN = "open"
    CLOSED = "closed"


class MemberState(Enum):
    """Whether operators want a VM or a target to take work."""

    ACTIVE = "active"
    JOINING = "joining"
    LEAVING = "leaving"


class Kind:
    """One kind of request of a service.

    Parameters
    ----------
    name : str
        Name as it stands in the caller's URL.
    request_class : RequestClass
        Class of the work.
    repeatable : bool
        False for work that runs at most once, such as a parts dispatch.
    deadline_ms : int
        Default deadline, in milliseconds, when the caller names none.
    """

    __slots__ = ("name", "request_class", "repeatable", "deadline_ms")

    def __init__(
        self,
        name: str,
        request_class: RequestClass,
        repeatable: bool,
        deadline_ms: int,
    ):
        self.name = name
        self.request_class = request_class
        self.repeatable = repeatable
        self.deadline_ms = deadline_ms


class Service:
    """One service behind the router.

    Parameters
    ----------
    name : str
        Name as it stands in the caller's URL.
    tenant : str
        Tenant that the service works for.
    ownership : Ownership
        Whether exactly one target may answer for a key.
    shards : int
        Number of hash ranges that the keys are divided into.
    kinds : dict of str to Kind
        The kinds of request, by name. A kind that is not listed is refused.
    """

    __slots__ = ("name", "tenant", "ownership", "shards", "kinds")

    def __init__(
        self,
        name: str,
        tenant: str,
        ownership: Ownership,
        shards: int,
        kinds: dict[str, Kind],
    ):
        self.name = name
        self.tenant = tenant
        self.ownership = ownership
        self.shards = shards
        self.kinds = kinds


class DataCentre:
    """One data centre and whether it takes work."""

    __slots__ = ("name", "state")

    def __init__(self, name: str, state: DataCentreState):
        self.name = name
        self.state = state


class Vm:
    """One entry VM as operators wish it to be."""

    __slots__ = ("name", "data_centre", "state")

    def __init__(self, name: str, data_centre: str, state: MemberState):
        self.name = name
        self.data_centre = data_centre
        self.state = state


class Target:
    """One target and what it bears.

    Parameters
    ----------
    name : str
        Unique name over all services.
    service : str
        Service that the target serves.
    address : str
        ``host:port`` with an IP number.
    data_centre : str
        Data centre that the target stands in.
    slots : int
        Requests that the target works on at the same time.
    connections : int
        Connections that the target accepts.
    checks_fences : bool
        Whether the target itself refuses work under an old fence token.
    state : MemberState
        Whether operators want it to take work.
    """

    __slots__ = (
        "name",
        "service",
        "address",
        "data_centre",
        "slots",
        "connections",
        "checks_fences",
        "state",
    )

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        data_centre: str,
        slots: int,
        connections: int,
        checks_fences: bool,
        state: MemberState,
    ):
        self.name = name
        self.service = service
        self.address = address
        self.data_centre = data_centre
        self.slots = slots
        self.connections = connections
        self.checks_fences = checks_fences
        self.state = state


class SpecialKey:
    """A key that operators set apart.

    Parameters
    ----------
    service : str
        Service of the key.
    key : str
        The key itself.
    target : str or None
        Target that the key is pinned to; None leaves the choice to the router.
    """

    __slots__ = ("service", "key", "target")

    def __init__(self, service: str, key: str, target: str | None):
        self.service = service
        self.key = key
        self.target = target


class Configuration:
    """Everything that operators decided, under one revision number.

    Parameters
    ----------
    revision : int
        Grows by one with each accepted sheet and never falls.
    services : dict of str to Service
    data_centres : dict of str to DataCentre
    vms : dict of str to Vm
    targets : dict of str to Target
    special_keys : list of SpecialKey
    thresholds : dict of str to float
        Overrides of the policy's named thresholds.
    author : str
        Who exported the sheet.
    write_id : str
        Unique id of the write, so that a lost answer can be settled by reading.
    """

    __slots__ = (
        "revision",
        "services",
        "data_centres",
        "vms",
        "targets",
        "special_keys",
        "thresholds",
        "author",
        "write_id",
    )

    def __init__(
        self,
        revision: int,
        services: dict[str, Service],
        data_centres: dict[str, DataCentre],
        vms: dict[str, Vm],
        targets: dict[str, Target],
        special_keys: list[SpecialKey],
        thresholds: dict[str, float] | None = None,
        author: str = "",
        write_id: str = "",
    ):
        self.revision = revision
        self.services = services
        self.data_centres = data_centres
        self.vms = vms
        self.targets = targets
        self.special_keys = special_keys
        self.thresholds = thresholds or {}
        self.author = author
        self.write_id = write_id

    def takes_work(self, target: Target) -> bool:
        """Tell whether operators let a target take new work.

        Parameters
        ----------
        target : Target
            A target of this configuration.

        Returns
        -------
        bool
            False when the target leaves or its data centre is closed.
        """
        centre = self.data_centres[target.data_centre]
        open_centre = centre.state is DataCentreState.OPEN
        return open_centre and target.state is not MemberState.LEAVING

    def targets_of(self, service: str) -> list[Target]:
        """Return the targets of a service, by name.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        list of Target
        """
        found = [t for t in self.targets.values() if t.service == service]
        return sorted(found, key=lambda target: target.name)

    def to_json(self) -> bytes:
        """Return the configuration as JSON, as the store holds it."""
        return json.dumps(self, default=_fields, sort_keys=True).encode()

    @classmethod
    def from_json(cls, raw: bytes) -> Configuration:
        """Read a configuration from the JSON that the store holds.

        Parameters
        ----------
        raw : bytes
            What :meth:`to_json` returned.

        Returns
        -------
        Configuration
        """
        doc = json.loads(raw)
        return cls(
            revision=doc["revision"],
            services={name: _service(s) for name, s in doc["services"].items()},
            data_centres={
                name: DataCentre(name, DataCentreState(d["state"]))
                for name, d in doc["data_centres"].items()
            },
            vms={
                name: Vm(name, v["data_centre"], MemberState(v["state"]))
                for name, v in doc["vms"].items()
            },
            targets={name: _target(t) for name, t in doc["targets"].items()},
            special_keys=[SpecialKey(**k) for k in doc["special_keys"]],
            thresholds=doc["thresholds"],
            author=doc["author"],
            write_id=doc["write_id"],
        )


def _fields(value):
    """Return what the JSON encoder writes for one of our values."""
    if isinstance(value, Enum):
        return value.value
    return {name: getattr(value, name) for name in value.__slots__}


def _service(doc: dict) -> Service:
    """Read one service from its JSON."""
    kinds = {
        name: Kind(
            name,
            RequestClass(kind["request_class"]),
            kind["repeatable"],
            kind["deadline_ms"],
        )
        for name, kind in doc["kinds"].items()
    }
    return Service(
        doc["name"],
        doc["tenant"],
        Ownership(doc["ownership"]),
        doc["shards"],
        kinds,
    )


def _target(doc: dict) -> Target:
    """Read one target from its JSON."""
    return Target(**{**doc, "state": MemberState(doc["state"])})
