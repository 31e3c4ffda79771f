"""What a leader knows: jobs, machines, assignments, stops, and judgements of failures.

Everything is in memory and changed only by calls; the forms of stored records stand here as well.
It imports `wire`, `config` and `clients.store`; scheduling reads it, the leader changes it.
"""
