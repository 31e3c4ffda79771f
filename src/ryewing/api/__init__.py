"""The HTTP interface of a controller: users, workers and health checks.

The package owns the server's connections, the bounds on requests, and the final states that were
reported to users. It imports `leader` (only the errors of choosing a shard), `state`, `clients`,
`config` and `wire`. Only `process` calls it, and implements the `Controller` protocol through which
the package uses the process.
"""
