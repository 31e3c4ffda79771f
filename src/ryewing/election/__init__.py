"""Leader election: the lease, the term and the fencing of every write.

The package owns the store keys under `lead/` and decides, by the monotonic clock, what a leader may
still do. It may import `ryewing.clients` and the packages below that. The leader elector of a
process uses it to campaign; the leader's term and `sharding` use it to fence their writes.
"""
