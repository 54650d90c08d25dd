"""Errors of the policy package."""

from __future__ import annotations


class PolicyError(Exception):
    """Any fault in what the policy was given."""


class ThresholdError(PolicyError):
    """An override of a threshold can't be used; the message names the remedy."""
