"""Winning and keeping leadership: the lease, the term and the fencing of every write.

The package owns the store's keys below `lead/` and the judgement of what a leader may still do by
its monotonic clock. It may import `ryewing.clients` and the packages below that. The leader elector
of a process campaigns through it, and the leader's term and `sharding` use it for their own writes.
"""
