"""Times and bounds of the lease protocol; all times in seconds."""

from __future__ import annotations

LEASE = 1.0
"""Lease time. A lost VM's keys wait this long, and the brief asks for 2 s at most."""

HEARTBEAT = 0.25
"""Time between two requests for confirmation: three may be lost in one lease."""

DRIFT = 0.02
"""Bound on how much faster one VM's or target's clock runs than another's."""

OUTSTANDING = LEASE * (1 + DRIFT)
"""How long an elector counts a confirmation as outstanding, by its own clock."""

SILENT_AFTER = 0.7
"""A VM not heard for so long counts as lost: two heartbeats may go missing."""

TARGET_DOWN_AFTER = 0.75
"""A target that accepted no grant for so long counts as down."""

FIRST_PROBE_DOWN_AFTER = 0.45
"""The same for a target never reached since its lead was gained.

A lost data centre takes target and leader together; the new leader must find out
within what is left of the 2 s."""

RETRY = 0.05
"""Time between two attempts to take over, release or fetch."""

PEER_TIMEOUT = 0.3
"""How long a request to another VM waits for its reply."""

GRANT_TIMEOUT = 0.3
"""How long a grant order waits for its answer."""

STORE_TIMEOUT = 2.0
"""After so long without a reply the core counts a call to the store as lost."""

CONFIGURATION_POLL = 0.5
"""Time between two reads of the configuration by the proposer."""

DEPUTY_POLL = 2.0
"""Time between two reads of each document by a deputy of the proposer."""

DEPUTIES = 2
"""VMs after the proposer that read the store too, in case the proposer cannot."""

STORE_RETRY = 0.25
"""Wait after a store call that failed, so that a slow store is not buried."""

BOOT_WAIT = 1.0
"""How long a VM listens for others before it writes the first assignment."""

ELECTORS = 5
"""Electors of a cell; two may be lost at once."""

FORGET_AFTER = 5.0
"""A lost VM that leads nothing leaves the assignment after so long."""

GONE_AFTER = 10.0
"""An elector missing from the platform's list for so long counts as taken away."""

REBALANCE_EVERY = 2.0
"""Time between two changes that only improve the balance."""

LEAD_MOVES = 2
"""Leads of targets moved by one change that only improves the balance."""

LEAD_SHARE = 10
"""Of many targets, one in so many may change its leader by such a change instead: a
large cell that starts with one VM would take minutes otherwise."""

SHARD_MOVES = 8
"""Shards moved by one change that only improves the balance."""

CLOSING_GRACE = 2.0
"""How long a closed or leaving target still serves shards that have not moved: a move
takes a fraction of it, and the brief asks for no new work a few seconds later."""

PAUSE = 0.5
"""Ticks further apart than this mean that the process was paused."""

LOAD_FRESH = 15.0
"""How long a load digest counts: three reports of the daemon.

The digest of a lost VM would otherwise ask for hot keys for ever that their new VM has
given back, and the keys would move to and fro."""

RATE_WINDOW = 0.05
"""Shortest time between two evaluations of the assignment by the proposer."""
