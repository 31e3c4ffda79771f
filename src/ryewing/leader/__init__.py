"""One term of leadership: recovery, and the loops that run jobs on machines until the term ends.

The package owns the live jobs, machines and stops of a term in memory, and writes their records to
the store. It imports all packages below it (`autoscaling` and `scheduling` decide, `state` keeps);
the leader elector of a process starts and stops a `Leader`, and the process asks it about
heartbeats, polls and cancels.
"""
