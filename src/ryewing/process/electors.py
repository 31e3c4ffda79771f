"""All leader electors of one process: one for the whole fleet, or one for each shard."""

from __future__ import annotations

from typing import NamedTuple

import gevent

from ryewing.process.leader_elector import LeaderElector
from ryewing.units import JobId, ShardName, Zone
from ryewing.wire.jobs import JobStatus


class LedJobStatus(NamedTuple):
    """A job's status from the memory of its leader, and the shard that it belongs to."""

    status: JobStatus
    shard: ShardName | None


class Electors(dict[ShardName | None, LeaderElector]):
    """The leader electors of one process by shard; the key None is that of the whole fleet."""

    def run(self) -> None:
        """Run every elector until the process is killed.

        The first runs in the calling greenlet, each other one in a greenlet of its own.
        """
        first, *others = self.values()
        for elector in others:
            greenlet = gevent.spawn(elector.run)
            greenlet.name = f"elector-{elector.shard}"
        first.run()

    def for_zone(self, zone: Zone) -> LeaderElector | None:
        """Return the elector whose leader a zone's workers belong to; None if there is none."""
        for elector in self.values():
            if elector.scope.covers(zone):
                return elector
        return None

    def job_status(self, job: JobId) -> LedJobStatus | None:
        """Return a job's status from the memory of a leader in this process.

        None if no leader here knows the job, or is allowed to answer now.
        """
        for elector in self.values():
            status = elector.leader.job_status(job) if elector.leader is not None else None
            if status is not None:
                return LedJobStatus(status, elector.shard)
        return None
