"""One controller process: the command line, what its parts share, and the leader electors.

The package wires the others together and owns their lifetimes. It imports all of them but
`sharding`, which the command line loads only where an operator asks for it.
"""
