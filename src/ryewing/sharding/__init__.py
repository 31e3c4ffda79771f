"""The fleet divided into shards, each of which one controller at a time leads (docs/sharding.md).

The package owns the shards' settings and each shard's part of the store, the ownership of shards
and the steps by which they change hands (`coordinator` is the loop), the division of team limits
(`team_limits`), and the command `shards`; who may start tasks in a shard rests on that shard's own
lease and term, as in `election.leadership`, and nothing here starts any. It may import every other
package but `cli`, and its errors derive from `errors.ShardingError`. Only `cli` calls it (`serve`,
`command`, `check`, `settings`), and imports it only where an operator asks for shards.
"""
