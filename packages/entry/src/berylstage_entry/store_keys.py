"""Keys of the store that the VMs use internally."""

from __future__ import annotations

# Prefix of all keys that the VMs use internally.
INTERNAL_PREFIX = "berylstage/"
# Prefix of the assignments, followed by the name of the service.
ASSIGNMENT_PREFIX = INTERNAL_PREFIX + "keys/"
# Key that names the coordinator and is bound to the coordinator's lease.
COORDINATOR_KEY = INTERNAL_PREFIX + "duty"
