"""Configuration that a valid sheet defines, and its JSON form in the store."""

from __future__ import annotations

import json
from enum import Enum

# Store key of the configuration.
CONFIGURATION_KEY = "berylstage/configuration"


class Ownership(Enum):
    """Whether each key of a service is owned by one target."""

    OWNED = "owned"
    FREE = "free"


class RequestClass(Enum):
    """Urgency of a request, which determines its weight, queue and deadline."""

    INTERACTIVE = "interactive"
    STANDARD = "standard"
    BATCH = "batch"


class DataCentreState(Enum):
    """Whether the targets of a data centre may get new requests."""

    OPEN = "open"
    CLOSED = "closed"


class MemberState(Enum):
    """Whether a VM or a target is in service, being added or being removed."""

    ACTIVE = "active"
    JOINING = "joining"
    LEAVING = "leaving"


class Kind:
    """One kind of request of a service.

    Parameters
    ----------
    name : str
        Name in the caller's URL.
    request_class : RequestClass
        Urgency of the requests.
    repeatable : bool
        False for requests that run at most once, such as a parts dispatch.
    deadline_ms : int
        Deadline in milliseconds for requests that specify none.
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
        Name in the caller's URL.
    tenant : str
        Tenant that the service belongs to.
    ownership : Ownership
        Whether exactly one target may serve a key.
    shards : int
        Number of hash ranges that the keys are divided into.
    kinds : dict of str to Kind
        Kinds of request by name; requests of any other kind are refused.
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
    """One data centre and whether its targets may get new requests."""

    __slots__ = ("name", "state")

    def __init__(self, name: str, state: DataCentreState):
        self.name = name
        self.state = state


class Vm:
    """One entry VM and its desired state."""

    __slots__ = ("name", "data_centre", "state")

    def __init__(self, name: str, data_centre: str, state: MemberState):
        self.name = name
        self.data_centre = data_centre
        self.state = state


class Target:
    """One target, its address and its capacity.

    Parameters
    ----------
    name : str
        Name, unique across all services.
    service : str
        Name of the service that the target serves.
    address : str
        ``host:port``, where the host is an IP address.
    data_centre : str
        Name of the data centre that the target is in.
    slots : int
        Number of requests that the target processes concurrently.
    connections : int
        Number of connections that the target accepts.
    checks_fences : bool
        Whether the target itself rejects requests with an outdated fence token.
    state : MemberState
        Whether the target is in service or being removed.
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
    """A key that operators made a shard of its own.

    Parameters
    ----------
    service : str
        Name of the service that the key belongs to.
    key : str
        Key as callers send it before percent-encoding.
    target : str or None
        Name of the target that the key is pinned to; None lets the router choose.
    """

    __slots__ = ("service", "key", "target")

    def __init__(self, service: str, key: str, target: str | None):
        self.service = service
        self.key = key
        self.target = target


class Configuration:
    """One revision of the operators' configuration.

    Parameters
    ----------
    revision : int
        Revision number; it increases by one with each accepted sheet and never
        decreases.
    services : dict of str to Service
        Services by name.
    data_centres : dict of str to DataCentre
        Data centres by name.
    vms : dict of str to Vm
        Entry VMs by name.
    targets : dict of str to Target
        Targets by name.
    special_keys : list of SpecialKey
        Keys that are shards of their own.
    thresholds : dict of str to float
        Overrides of the policy's thresholds by name.
    author : str
        Author that the sheet names.
    write_id : str
        Unique ID of the write. If the store's response is lost, reading this ID
        back shows whether the write succeeded.
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
        """Return whether a target may get new requests.

        Parameters
        ----------
        target : Target
            Target of this configuration.

        Returns
        -------
        bool
            False if the target is leaving or its data centre is closed.
        """
        centre = self.data_centres[target.data_centre]
        centre_is_open = centre.state is DataCentreState.OPEN
        return centre_is_open and target.state is not MemberState.LEAVING

    def targets_of(self, service: str) -> list[Target]:
        """Return the targets of a service, sorted by name.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        list of Target
            Empty if no target serves the service.
        """
        found = [t for t in self.targets.values() if t.service == service]
        return sorted(found, key=lambda target: target.name)

    def to_json(self) -> bytes:
        """Return the configuration as JSON in the format of the store."""
        return json.dumps(self, default=_encode_value, sort_keys=True).encode()

    @classmethod
    def from_json(cls, raw: bytes) -> Configuration:
        """Parse a configuration from JSON in the format of the store.

        Parameters
        ----------
        raw : bytes
            JSON that :meth:`to_json` returned.

        Returns
        -------
        Configuration
            Configuration equal to the serialized one.
        """
        doc = json.loads(raw)
        return cls(
            revision=doc["revision"],
            services={name: _parse_service(s) for name, s in doc["services"].items()},
            data_centres={
                name: DataCentre(name, DataCentreState(d["state"]))
                for name, d in doc["data_centres"].items()
            },
            vms={
                name: Vm(name, v["data_centre"], MemberState(v["state"]))
                for name, v in doc["vms"].items()
            },
            targets={name: _parse_target(t) for name, t in doc["targets"].items()},
            special_keys=[SpecialKey(**k) for k in doc["special_keys"]],
            thresholds=doc["thresholds"],
            author=doc["author"],
            write_id=doc["write_id"],
        )


def _encode_value(value):
    """Return the JSON representation of an enum member or a configuration object."""
    if isinstance(value, Enum):
        return value.value
    return {name: getattr(value, name) for name in value.__slots__}


def _parse_service(doc: dict) -> Service:
    """Return the service that a JSON object describes."""
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


def _parse_target(doc: dict) -> Target:
    """Return the target that a JSON object describes."""
    return Target(**{**doc, "state": MemberState(doc["state"])})
