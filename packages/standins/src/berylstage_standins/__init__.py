"""Simulated platform, targets and callers for tests and the demo."""
