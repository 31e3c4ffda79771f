"""One controller process: what its parts share, and the leader electors.

The package wires the others together and owns their lifetimes. It imports all packages below it;
the command line starts it, and `sharding` where an operator has divided the fleet.
"""
