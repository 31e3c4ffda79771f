"""The images that a machine has in its cache or is fetching, as far as the leader knows."""

from __future__ import annotations

from collections import Counter, OrderedDict

from ryewing.state.image_fetches import ImageFetch
from ryewing.units import MonotonicTime
from ryewing.wire.cloud import MachineType
from ryewing.wire.jobs import JobSpec

# Plain integers instead of an enum, because scheduling compares and adds these values for every
# machine that it examines.
WARM = 0
"""A value of `ImageCache.warmth`: the image is probably in the machine's cache."""
FETCHING = 1
"""A value of `ImageCache.warmth`: the machine is fetching the image for another task."""
COLD = 2
"""A value of `ImageCache.warmth`: the machine would have to fetch the image."""

MEASURABLE_FETCH_S = 5.0
"""The expected duration below which a fetch is not measured. The leader sees the end of a fetch
only in the next heartbeat, seconds late, so measured durations of short fetches are inaccurate."""


class ImageCache:
    """The part of a machine's state that concerns images; `Machine` adds the rest."""

    __slots__ = ("fetches", "images", "images_in_use", "machine_type")

    machine_type: MachineType
    images: OrderedDict[str, float]
    """Images that are probably in the worker's cache, with their sizes in GB, in order of use: the
    most recently used image is last."""
    images_in_use: Counter[str]
    """The number of assignments that use each image, including images that are being fetched."""
    fetches: dict[str, ImageFetch]
    """Image fetches in progress according to the heartbeats, by image."""

    def __init__(self, machine_type: MachineType) -> None:
        self.machine_type = machine_type
        self.images = OrderedDict()
        self.images_in_use = Counter()
        self.fetches = {}

    def record_fetch(self, spec: JobSpec, fetching: bool, now: MonotonicTime) -> float | None:
        """Record that a task's image is being fetched, or no longer is if `fetching` is false.

        At the end of a fetch that overlapped with others, return its slowdown (measured divided by
        expected duration), else None: only overlapping fetches show whether fetches share the
        machine's rate.
        """
        if fetching:
            if spec.image not in self.fetches and spec.image not in self.images:
                self._start_fetch(spec.image, now)
            return None
        fetch = self.fetches.pop(spec.image, None)
        expected_s = spec.image_gb / max(self.machine_type.fetch_gb_per_s, 1e-3)
        if fetch is None or fetch.exclusive or expected_s < MEASURABLE_FETCH_S:
            return None
        return (now - fetch.started_at) / expected_s

    def _start_fetch(self, image: str, now: MonotonicTime) -> None:
        for name in [n for n in self.fetches if not self.images_in_use[n]]:
            del self.fetches[name]  # the worker cancels a fetch that no task waits for
        for other in self.fetches.values():
            other.exclusive = False
        self.fetches[image] = ImageFetch(now, not self.fetches)

    def warmth(self, image: str) -> int:
        """Return `WARM`, `FETCHING` or `COLD`; a task starts sooner where the value is smaller."""
        if image in self.images:
            return WARM
        return FETCHING if self.images_in_use[image] > 0 else COLD

    def present_images(self) -> set[str]:
        """Return the images that are not `COLD`: those probably cached or being fetched."""
        return {*self.images, *(name for name, count in self.images_in_use.items() if count > 0)}

    def record_image(self, image: str, size_gb: float) -> None:
        """Record that the worker has the image in its cache.

        Assumes that the worker evicts the least recently used images once its cache is full.
        """
        self.images[image] = size_gb
        self.images.move_to_end(image)
        while len(self.images) > 1 and sum(self.images.values()) > self.machine_type.cache_gb:
            self.images.popitem(last=False)
