"""Plots of goodput over time."""

import collections
import dataclasses
import pathlib
from collections.abc import Sequence

import matplotlib as mpl

from chivelead_standins._internal.records import History

mpl.use('Agg')

from matplotlib import pyplot as plt  # noqa: E402

_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True)
class Curve:
    """Calls under one policy, to be plotted."""

    policy: str
    history: History
    started_ms: float


def plot_goodput(
    path: pathlib.Path,
    title: str,
    curves: Sequence[Curve],
    trigger_s: tuple[float, float],
) -> None:
    """Plot the goodput of several policies over time to a file.

    Args:
        path: Output file; its suffix selects the format, such as SVG or PNG.
        title: Title of the plot.
        curves: One for each policy.
        trigger_s: Start and end of the overload, which is shaded.
    """
    figure, axes = plt.subplots(figsize=(9, 4))
    axes.axvspan(*trigger_s, color='0.9', label='trigger')
    for curve in curves:
        valid_by_second: collections.Counter[int] = collections.Counter()
        for call in curve.history.calls:
            second = int((call.sent_ms - curve.started_ms) // _MS_PER_S)
            valid_by_second[second] += call.valid
        seconds = range(max(valid_by_second) + 1)
        goodputs = [valid_by_second[second] for second in seconds]
        axes.plot(seconds, goodputs, label=curve.policy)
    axes.set_xlabel('send time, s')
    axes.set_ylabel('valid responses, 1/s')
    axes.set_title(title)
    axes.legend()
    figure.savefig(path)
    plt.close(figure)
