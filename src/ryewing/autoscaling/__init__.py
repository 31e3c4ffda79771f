"""Decides which machines to rent, to cordon and to release.

The package contains the scaling rules. Its only state is the backoff from rental options for which
the cloud had no capacity. The caller passes the current time, and no function here blocks. The
package may import `scheduling`, `state` and the packages below them; only the leader's autoscaling
modules use it.
"""
