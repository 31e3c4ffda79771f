"""One controller process: its servers, its leader electors, and what it tells other controllers.

The package constructs the parts of a process, connects them and owns their lifetimes. It may import
every package below it, so all but `ryewing.sharding` and `ryewing.cli`. The command line starts a
`Node`; `sharding` does so where an operator has divided the fleet.
"""
