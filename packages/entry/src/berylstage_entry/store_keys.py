"""Keys of the store that the VMs keep for themselves."""

from __future__ import annotations

# Prefix of the keys that the VMs keep for themselves.
OWN_PREFIX = "berylstage/"
# Prefix of the assignments; the name of the service follows.
KEYS_PREFIX = OWN_PREFIX + "keys/"
# Key that names the VM with the duty of granting; it goes with that VM's lease.
DUTY_KEY = OWN_PREFIX + "duty"
