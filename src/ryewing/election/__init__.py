"""Winning and keeping leadership: the lease, the term and the fence of every write.

The package owns the keys below `lead/` and the judgement of what a leader may do by its clock. It
imports `clients`; the leader elector of a process and the leader's own writes call it.
"""
