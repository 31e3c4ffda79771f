"""Why a term of leadership ends."""

from __future__ import annotations

from enum import StrEnum


class TermEndReason(StrEnum):
    """Why a term ends; the value is logged."""

    LEASE_LOST = "lease"
    """The leader's lease no longer exists in the store."""
    FAULT = "fault"
    """A loop of the term raised an unhandled exception."""
    FENCED = "fenced"
    """A transaction failed because another term has begun."""
    LATER_TOKEN = "overruled"
    """A worker has seen a later term's token."""
    LATER_LEADER = "notice"
    """Another controller announced that it leads a later term."""
    WORKERS_UNREACHABLE = "cut-from-workers"
    """Most machines became silent at once, so the fault is likely on this node."""
    JOBS_NOT_FOLLOWED = "jobs-not-followed"
    """The lease is renewed, but the jobs can't be read from the store."""
    ATTEMPTS_USED_UP = "attempts-used-up"
    """The term has used up its numbers for task attempts (safety argument 6)."""
    SHARD_MOVING = "moving"
    """The shard is being handed to another controller."""
    NOT_OWNER = "not-owner"
    """The shard's record names another owner."""
