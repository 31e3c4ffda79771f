"""Decides which machines to rent, to cordon and to release.

It owns the rules and the backoff from options that the cloud could not provide, no other state; the
clock is passed in, and nothing here waits. It imports `scheduling`, `state` and the packages below
them, and only the leader's autoscaler calls it.
"""
