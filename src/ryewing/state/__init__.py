"""The leader's state: jobs, machines, assignments, pending terminations and detected failures.

This package owns the state, which is held in memory and changed only by calls that never block. It
also defines the store records of jobs, machine types and record pages. It may import `units`,
`wire`, `config` and `clients`. The leader changes the state, scheduling and autoscaling read it,
and the API, process and sharding packages use the record formats.
"""
