"""The settings that the platform hands over, and the policy that operators tune by a Lua script.

Both are read and checked once, at start, and are values that never change afterwards; what is wrong
with them is raised as a `ConfigError`. The package may import only `ryewing.wire` and below. The
command line reads both; every package above this one is handed their values.
"""
