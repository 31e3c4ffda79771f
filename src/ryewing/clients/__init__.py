"""Clients of all systems outside a controller: the store, the cloud, the workers and the peers.

The package owns the connections, deadlines and rate limits of requests; it has no logic for jobs or
machines. It imports `wire`, `config` and `units`; elections, state, leaders, the API and the
process call it.
"""
