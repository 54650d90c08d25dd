"""Decides which target owns which keys."""
