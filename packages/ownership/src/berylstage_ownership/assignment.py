"""The assignment of one cell: who leads each target and who owns each shard."""

from __future__ import annotations

import json


class Prior:
    """A VM that may still act on something it held below a revision.

    Parameters
    ----------
    vm : str
    incarnation : int
        Run of the VM's process that held it.
    until : int
        Revision that took it away.
    target : str
        Target at which it worked.
    shard : str
        Shard that it worked on, ``service/*`` for any shard of a service; empty for
        the lead of the target. It differs from the shard that names the prior when a
        key was set apart: who let go of the new shard, which it never held, may still
        work on the key under the old one.
    """

    __slots__ = ("vm", "incarnation", "until", "target", "shard")

    def __init__(
        self, vm: str, incarnation: int, until: int, target: str, shard: str = ""
    ):
        self.vm = vm
        self.incarnation = incarnation
        self.until = until
        self.target = target
        self.shard = shard

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Prior) and self.fields() == other.fields()

    def __hash__(self) -> int:
        return hash(tuple(self.fields()))

    def __repr__(self) -> str:
        return f"Prior{tuple(self.fields())}"

    def fields(self) -> list:
        """Return the fields in the order of the constructor."""
        return [self.vm, self.incarnation, self.until, self.target, self.shard]


class CellVm:
    """One VM of the cell as it joined.

    Parameters
    ----------
    name, data_centre : str
    incarnation : int
        Run of the process; a later run has a larger number.
    http_address, peer_address : str
        ``host:port`` for callers and for other VMs.
    """

    __slots__ = ("name", "data_centre", "incarnation", "http_address", "peer_address")

    def __init__(
        self,
        name: str,
        data_centre: str,
        incarnation: int,
        http_address: str,
        peer_address: str,
    ):
        self.name = name
        self.data_centre = data_centre
        self.incarnation = incarnation
        self.http_address = http_address
        self.peer_address = peer_address


class Leadership:
    """Which VM leads a target.

    Parameters
    ----------
    vm : str
    incarnation : int
    epoch : int
        Revision that gave the lead; the target refuses a lower one.
    priors : list of Prior
        Who may still act on the target.
    """

    __slots__ = ("vm", "incarnation", "epoch", "priors")

    def __init__(self, vm: str, incarnation: int, epoch: int, priors: list[Prior]):
        self.vm = vm
        self.incarnation = incarnation
        self.epoch = epoch
        self.priors = priors


class ShardOwner:
    """Which target owns a shard.

    Parameters
    ----------
    target : str
    fence : int
        Revision that gave the shard to the target.
    priors : list of Prior
        Who may still act on the shard.
    """

    __slots__ = ("target", "fence", "priors")

    def __init__(self, target: str, fence: int, priors: list[Prior]):
        self.target = target
        self.fence = fence
        self.priors = priors


class Assignment:
    """The assignment document, replaced as a whole by compare-and-swap.

    Parameters
    ----------
    cell : str
    revision : int
        Grows by one with each change and never falls.
    write_id : str
        Unique id of the write, so that a lost answer is settled by reading.
    configuration_revision : int
        Configuration that it was worked out from.
    electorate : list of str
        VMs that confirm leases, in the order in which they propose changes.
    electorate_version : int
    vms : dict of str to CellVm
    leaders : dict of str to Leadership
        By target.
    owners : dict of str to ShardOwner
        By shard, of services whose keys are owned.
    hash_shards : dict of str to int
        Number of hash ranges by service whose keys are owned. It stands here and
        not only in the configuration: two VMs at different configuration revisions
        must not take one key for a member of two shards.
    """

    __slots__ = (
        "cell",
        "revision",
        "write_id",
        "configuration_revision",
        "electorate",
        "electorate_version",
        "vms",
        "leaders",
        "owners",
        "hash_shards",
    )

    def __init__(
        self,
        cell: str,
        revision: int,
        write_id: str,
        configuration_revision: int,
        electorate: list[str],
        electorate_version: int,
        vms: dict[str, CellVm],
        leaders: dict[str, Leadership],
        owners: dict[str, ShardOwner],
        hash_shards: dict[str, int],
    ):
        self.cell = cell
        self.revision = revision
        self.write_id = write_id
        self.configuration_revision = configuration_revision
        self.electorate = electorate
        self.electorate_version = electorate_version
        self.vms = vms
        self.leaders = leaders
        self.owners = owners
        self.hash_shards = hash_shards

    @property
    def majority(self) -> int:
        """Number of electors that any two majorities share one of."""
        return len(self.electorate) // 2 + 1

    def copy(self) -> Assignment:
        """Return a copy that may be changed without changing this one."""
        return Assignment.from_json(self.to_json())

    def to_json(self) -> bytes:
        """Return the document as JSON, as the store holds it."""
        doc = {
            "cell": self.cell,
            "revision": self.revision,
            "write_id": self.write_id,
            "configuration_revision": self.configuration_revision,
            "electorate": self.electorate,
            "electorate_version": self.electorate_version,
            "vms": {
                name: [vm.data_centre, vm.incarnation, vm.http_address, vm.peer_address]
                for name, vm in self.vms.items()
            },
            "leaders": {
                name: [lead.vm, lead.incarnation, lead.epoch, _rows(lead.priors)]
                for name, lead in self.leaders.items()
            },
            "owners": {
                name: [owner.target, owner.fence, _rows(owner.priors)]
                for name, owner in self.owners.items()
            },
            "hash_shards": self.hash_shards,
        }
        return json.dumps(doc, sort_keys=True, separators=(",", ":")).encode()

    @classmethod
    def from_json(cls, raw: bytes) -> Assignment:
        """Read the document that :meth:`to_json` wrote.

        Parameters
        ----------
        raw : bytes

        Returns
        -------
        Assignment
        """
        doc = json.loads(raw)
        return cls(
            cell=doc["cell"],
            revision=doc["revision"],
            write_id=doc["write_id"],
            configuration_revision=doc["configuration_revision"],
            electorate=doc["electorate"],
            electorate_version=doc["electorate_version"],
            vms={name: CellVm(name, *row) for name, row in doc["vms"].items()},
            leaders={
                name: Leadership(row[0], row[1], row[2], _priors(row[3]))
                for name, row in doc["leaders"].items()
            },
            owners={
                name: ShardOwner(row[0], row[1], _priors(row[2]))
                for name, row in doc["owners"].items()
            },
            hash_shards=doc["hash_shards"],
        )


def _rows(priors: list[Prior]) -> list[list]:
    """Return priors as JSON rows."""
    return [prior.fields() for prior in priors]


def _priors(rows: list[list]) -> list[Prior]:
    """Return the priors of JSON rows."""
    return [Prior(*row) for row in rows]
