"""The settings that the platform hands over and the policy that operators tune by a Lua script.

Both are read and checked once, at start, and are values that never change afterwards. The package
imports only `ryewing.wire`. The command line reads them; every other package is given them.
"""
