"""Tests of the waits for replies of silent nodes."""

import pytest
from chivelead_node._internal.silent_waits import SilentWait


# Guards against attempts that fail although no retry is left for them, and
# against waits for nodes that are lost.
@pytest.mark.parametrize(
    ('silent_ms', 'has_retry', 'gives_up'),
    [
        (1100, False, False),
        (2300, False, False),
        (2500, False, True),
        (1100, True, True),
    ],
)
def test_attempt_waits_without_a_retry(silent_ms, has_retry, gives_up):
    wait = SilentWait(lambda call, retries_done: has_retry, None, 0)
    assert wait.give_up(silent_ms) == gives_up
    assert wait.has_retry == has_retry
