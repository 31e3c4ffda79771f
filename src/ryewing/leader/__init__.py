"""One term of leadership: recovery, and the loops that run jobs on machines until the term ends.

The package owns a term's live jobs, machines and pending terminations in memory, and writes their
records to the store. It builds on `autoscaling` and `scheduling`, which make the decisions, and on
`state`, which holds the data. The leader elector of a process starts and stops a `Leader`; the
process passes heartbeats, status queries and cancels to it.
"""
