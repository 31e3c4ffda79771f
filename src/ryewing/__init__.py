"""ryewing: a cluster scheduler whose leader keeps unstarted work in memory only."""

__version__ = "0.2.2"
