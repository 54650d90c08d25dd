"""Keys of the store that the VMs use internally."""

from __future__ import annotations

# Prefix of all keys that the VMs use internally.
OWN_PREFIX = "berylstage/"
# Prefix of the assignments, followed by the name of the service.
KEYS_PREFIX = OWN_PREFIX + "keys/"
# Key that names the coordinator and is bound to the coordinator's lease.
DUTY_KEY = OWN_PREFIX + "duty"
