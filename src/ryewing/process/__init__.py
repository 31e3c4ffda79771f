"""One controller process: its servers, its leader electors, and its messages to other controllers.

The package constructs the parts of a process, connects them and owns their lifetimes. It may import
every package except `ryewing.sharding` and `ryewing.cli`, which are above it. The command line
starts a `Node`; if an operator has divided the fleet, `sharding` starts it.
"""
