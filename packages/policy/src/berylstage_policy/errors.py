"""Exceptions raised by the policy package."""

from __future__ import annotations


class PolicyError(Exception):
    """Base class of errors in the policy's input."""


class ThresholdError(PolicyError):
    """A threshold override is invalid; the message says how to correct it."""
