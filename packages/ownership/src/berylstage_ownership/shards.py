"""Which shard a key belongs to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from berylstage_ownership.assignment import Assignment

ANY = "*"
"""Stands for the number of a shard where any shard of the service is meant."""


def key_shard(service: str, key: str) -> str:
    """Return the name that a key's own shard would have."""
    return f"{service}/key:{key}"


def own_key(service: str, shard: str) -> str | None:
    """Return the key of a shard that holds a single one, else None."""
    prefix = key_shard(service, "")
    return shard.removeprefix(prefix) if shard.startswith(prefix) else None


def hash_shard(service: str, key: str, count: int) -> str:
    """Return the name of the hash range of a key.

    Parameters
    ----------
    service, key : str
    count : int
        Number of hash ranges of the service.

    Returns
    -------
    str
    """
    return f"{service}/{xxh3_64_intdigest(key.encode()) % count}"


def shard_of(service: str, key: str, assignment: Assignment) -> str:
    """Return the shard of a key as the assignment divides them.

    Parameters
    ----------
    service, key : str
    assignment : Assignment
        Not the configuration: a sheet that sets a key apart takes hold of requests
        only with the assignment that moves the key, or two targets would own it.

    Returns
    -------
    str
        Empty where the keys of the service are not owned.
    """
    count = assignment.hash_shards.get(service)
    if count is None:
        return ""
    own = key_shard(service, key)
    if own in assignment.owners:
        return own
    return hash_shard(service, key, count)


def covers(pattern: str, shard: str) -> bool:
    """Tell whether a shard is the one named, or one of the service named."""
    service, _, number = pattern.partition("/")
    if number == ANY:
        return service_of(shard) == service
    return pattern == shard


def service_of(shard: str) -> str:
    """Return the service of a shard."""
    return shard.split("/", 1)[0]
