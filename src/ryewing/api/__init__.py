"""The HTTP interface of a controller: users, workers and health checks.

The package owns the server's connections, the bounds of requests and the final states that were
told. It knows the process by the `Controller` protocol only, which `process` implements.
"""
