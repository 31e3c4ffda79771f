"""The HTTP API of a controller for users, workers and health checks.

The package owns the server's connections, the limits on requests, and the cache of final states
that were reported to users. It imports `leader` (only the errors of choosing a shard), `state`,
`clients`, `config` and `wire`. Only `process` calls it, and implements the `Controller` protocol
through which the handlers access the process.
"""
