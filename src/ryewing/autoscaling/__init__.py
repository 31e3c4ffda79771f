"""Which machines to rent, to cordon and to release, as pure decisions.

Nothing here keeps state but the backoff from what the cloud did not have; the clock is passed in.
It imports `state` and `scheduling`; the leader's autoscaler calls it.
"""
