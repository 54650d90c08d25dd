"""Load, experiment and benchmark tools."""
