"""Command ``prove``: run failure scenarios and check their promises."""

import sys

import uvloop

from chivelead_standins._internal.scenarios import (
    SCENARIOS,
    has_baseline,
    run_scenario,
)

_MAX_PRINTED_VIOLATIONS = 3


def prove(*names: str, baseline: bool = False, seed: int = 11) -> None:
    """Run failure scenarios and print the violations of each promise.

    Args:
        names: Names of scenarios; all by default.
        baseline: Turn the tested mechanisms off, to verify that the checkers
            find violations.
        seed: Random seed of arrival and execution times.
    """
    chosen = names or tuple(SCENARIOS)
    if baseline:
        chosen = tuple(name for name in chosen if has_baseline(name))
    violation_count = 0
    for name in chosen:
        check_results = uvloop.run(run_scenario(name, seed, baseline=baseline))
        for check_result in check_results:
            violation_count += len(check_result.violations)
            sys.stdout.write(
                f'scenario={name} seed={seed} promise={check_result.promise} '
                f'runs={check_result.checked} '
                f'violations={len(check_result.violations)} '
                f'{check_result.figures}\n',
            )
            for violation in check_result.violations[:_MAX_PRINTED_VIOLATIONS]:
                sys.stdout.write(f'    {violation}\n')
        sys.stdout.flush()
    if violation_count and not baseline:
        sys.exit(1)
