"""The platform's settings file, and the policy that operators can override by a Lua script.

Both are read and checked once, at start, and are immutable afterwards; invalid ones raise a
`ConfigError`. The package may import only `ryewing.wire` and below. The command line loads both and
passes them to the packages above this one.
"""
