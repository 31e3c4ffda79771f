"""Clients of what is outside a controller: the store, the cloud, the workers and its peers.

The package owns connections, deadlines and the budgets of requests; it decides nothing about jobs
or machines. It imports `wire`, `config` and `units`; leaders, the API and elections call it.
"""
