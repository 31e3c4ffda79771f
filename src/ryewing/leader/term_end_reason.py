"""Why a term of leadership ends."""

from __future__ import annotations

from enum import StrEnum


class TermEndReason(StrEnum):
    """Why a term ends; the value is what the log says."""

    LEASE_LOST = "lease"
    """The store has ended the leader's lease."""
    FAULT = "fault"
    """A loop of the term raised an exception that it doesn't handle."""
    FENCED = "fenced"
    """A transaction failed because another term has begun."""
    LATER_TOKEN = "overruled"
    """A worker has seen a later term's token."""
    LATER_LEADER = "notice"
    """Another controller announced that it leads a later term."""
    WORKERS_UNREACHABLE = "cut-from-workers"
    """Most machines fell silent at once: the fault is likely here."""
    JOBS_NOT_FOLLOWED = "jobs-not-followed"
    """The lease is renewed, but the jobs can't be read."""
    ATTEMPTS_USED_UP = "attempts-used-up"
    """The term has no more numbers for task attempts (safety argument 6)."""
    SHARD_MOVING = "moving"
    """The shard is handed to another controller."""
    NOT_OWNER = "not-owner"
    """The shard's record names another owner."""
