"""What a leader knows: jobs, machines, assignments, pending terminations and judged failures.

It owns this state, all of it in memory and changed only by calls that never wait, and the form of
the records of jobs, machine types and record pages in the store. It may import `units`, `wire`,
`config` and `clients`. The leader changes it; scheduling and autoscaling read it, and the API,
process and sharding use its record forms.
"""
