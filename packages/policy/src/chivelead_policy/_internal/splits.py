"""Choice among the parts of a split by weight."""

import bisect
import itertools
import math
import random
from collections.abc import Sequence

# Multiples of the golden ratio spread evenly over the unit interval, so the
# shares are met over few requests.
_GOLDEN_RATIO_FRACTION = 0.6180339887498949


class WeightedSplit:
    """Deal requests to parts in proportion to weights.

    Args:
        weights: At least one is above zero.
        seed: Moves the start, so that nodes do not go in step.
    """

    def __init__(self, weights: Sequence[float], seed: int) -> None:
        """Add up the weights."""
        self._cumulative_weights = list(itertools.accumulate(weights))
        self._position = random.Random(seed).random()  # noqa: S311

    def choose(self) -> int:
        """Return the index of the part for the next request."""
        self._position = math.modf(self._position + _GOLDEN_RATIO_FRACTION)[0]
        point = self._position * self._cumulative_weights[-1]
        return bisect.bisect_right(self._cumulative_weights, point)
