"""Pure protocol core for leases, fences, moves and idempotency."""
