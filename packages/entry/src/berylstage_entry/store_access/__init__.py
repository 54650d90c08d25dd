"""How a VM calls the store, and learns its changes without calling it."""
