"""The fleet divided into shards, each of which one controller at a time leads.

`settings` says which machines belong to a shard and checks it, `ownership` decides the steps by
which a shard changes hands, `registry` keeps them in the store, `shard_store` is a shard's part of
the store, `allowance` divides team limits, `load` is what a planner goes by, and `planner` chooses
owners, by a solver (`exact`) or without one (`greedy`). `coordinator` is a controller's loop over
these, `team_limits` a term's; `serve` and `command` are what the command line calls. Nothing here
starts a task: who may do so in a shard rests on that shard's own lease and term, as in
`leadership`. Loaded only where an operator asks for shards (docs/sharding.md).
"""
