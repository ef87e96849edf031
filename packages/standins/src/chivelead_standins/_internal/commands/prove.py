"""Command ``prove``: run the scenarios and print a line for each promise."""

import sys

import uvloop

from chivelead_standins._internal.scenarios import (
    SCENARIOS,
    has_baseline,
    run_scenario,
)

_SHOWN = 3


def prove(*names: str, baseline: bool = False, seed: int = 11) -> None:
    """Run scenarios of failure on separate processes and check them.

    Args:
        names: Scenarios; all when none is given.
        baseline: Turn the mechanisms off, to see the checkers fail.
        seed: Seed of arrivals and service times.
    """
    chosen = names or tuple(SCENARIOS)
    if baseline:
        chosen = tuple(name for name in chosen if has_baseline(name))
    total = 0
    for name in chosen:
        proofs = uvloop.run(run_scenario(name, seed, baseline=baseline))
        for proof in proofs:
            total += len(proof.violations)
            sys.stdout.write(
                f'scenario={name} seed={seed} promise={proof.promise} '
                f'runs={proof.runs} violations={len(proof.violations)} '
                f'{proof.figures}\n',
            )
            for violation in proof.violations[:_SHOWN]:
                sys.stdout.write(f'    {violation}\n')
        sys.stdout.flush()
    if total and not baseline:
        sys.exit(1)
