"""Command-line interface of ``chivelead-standins``."""

import defopt

from chivelead_standins._internal.commands.capacity import capacity
from chivelead_standins._internal.commands.demo import demo
from chivelead_standins._internal.commands.experiment import experiment
from chivelead_standins._internal.commands.latency import latency
from chivelead_standins._internal.commands.prove import prove
from chivelead_standins._internal.commands.relay import relay
from chivelead_standins._internal.commands.store import store
from chivelead_standins._internal.commands.target import target


def main() -> None:
    """Run the command named on the command line."""
    defopt.run(
        [capacity, demo, experiment, latency, prove, relay, store, target]
    )
