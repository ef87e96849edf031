"""Random clients, targets and disturbances on node processes.

Three seeds run with the other tests.  For others, name a range of seeds:
``CHIVELEAD_SOAK_SEEDS=100-149``.  With ``CHIVELEAD_SOAK_LARGE=1``, fleets have
16 nodes that stop in series and at once, beside all other disturbances.
"""

import os

import pytest
from lib.request_soak import RequestSoak
from lib.request_soak_check import find_violations


# 412: a request that crosses an answer which asks its client to close.
_SEEDS = (1, 2, 412)


def soak_seeds():
    """Return the seeds to run."""
    named = os.environ.get('CHIVELEAD_SOAK_SEEDS')
    if not named:
        return _SEEDS
    first, _, last = named.partition('-')
    return range(int(first), int(last or first) + 1)


# Guards against requests and answers that change, run twice or are lost, in
# any order of stops, kills, freezes, resets and uploads.
@pytest.mark.parametrize('seed', soak_seeds())
async def test_requests_are_answered_once_and_unchanged(seed):
    soak = RequestSoak(
        seed, is_large=bool(os.environ.get('CHIVELEAD_SOAK_LARGE'))
    )
    await soak.run()
    print(soak.summary())
    violations = find_violations(soak.history)
    if violations:
        pytest.fail('\n'.join(violations), pytrace=False)
