"""Weighted split of requests."""

import bisect
import itertools
import math
import random
from collections.abc import Sequence

# The fractional parts of the multiples of the golden ratio are evenly spread
# over the unit interval, so that even a few requests match the weights closely.
_GOLDEN_RATIO_FRACTION = 0.6180339887498949


class WeightedSplit:
    """Distribute requests over options in proportion to their weights.

    Args:
        weights: Weights of the options; at least one must be positive.
        seed: Determines the start position; differs by node, so that nodes do
            not all choose the same option at once.
    """

    def __init__(self, weights: Sequence[float], seed: int) -> None:
        """Compute the cumulative weights and the start position."""
        self._cumulative_weights = list(itertools.accumulate(weights))
        self._position = random.Random(seed).random()  # noqa: S311

    def choose(self) -> int:
        """Return the index of the option for the next request."""
        self._position = math.modf(self._position + _GOLDEN_RATIO_FRACTION)[0]
        point = self._position * self._cumulative_weights[-1]
        return bisect.bisect_right(self._cumulative_weights, point)
