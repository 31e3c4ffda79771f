"""Clients of everything outside a controller: the store, the cloud, the workers and the peers.

The package owns connections, deadlines and rate budgets of requests; it decides nothing about jobs
or machines. It imports `wire`, `config` and `units`; elections, state, leaders, the API and the
process call it.
"""
