"""Divides the fleet into shards, each led by one controller at a time (docs/sharding.md).

The package contains the shard settings, each shard's part of the store, the ownership of shards and
its transfer between controllers (the loop is in `coordinator`), the division of team limits among
shards (`team_limits`) and the command `shards`. It starts no tasks: which controller may start
tasks in a shard is decided by that shard's lease and term, as in `election.leadership`. The package
may import every other package except `cli`. Its errors derive from `errors.ShardingError`. Only
`cli` calls it (`serve`, `command`, `check`, `settings`), and imports it only if shards are
configured or a command for shards is run.
"""
