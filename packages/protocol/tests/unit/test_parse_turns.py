"""Tests of the turns in which connections parse what they have received."""

import asyncio
import functools

from chivelead_protocol.bounds import ParseTurns


# Guards against a loop that is held up by all connections with much to parse.
async def test_one_connection_goes_on_in_each_iteration():
    turns = ParseTurns()
    taken = []
    for name in ('first', 'second'):
        turns.wait(functools.partial(taken.append, name))
    assert taken == []
    await asyncio.sleep(0)
    assert taken == ['first']
    await asyncio.sleep(0)
    assert taken == ['first', 'second']


async def test_connection_that_waits_again_lets_others_go_first():
    turns = ParseTurns()
    taken = []

    def go_on():
        taken.append('long')
        if taken.count('long') < 3:
            turns.wait(go_on)

    turns.wait(go_on)
    turns.wait(lambda: taken.append('short'))
    for _ in range(5):
        await asyncio.sleep(0)
    assert taken == ['long', 'short', 'long', 'long']


async def test_error_of_one_connection_does_not_stop_the_others():
    turns = ParseTurns()
    taken = []
    errors = []
    asyncio.get_running_loop().set_exception_handler(
        lambda _, context: errors.append(context['exception'])
    )
    turns.wait(lambda: taken.pop())
    turns.wait(lambda: taken.append('next'))
    for _ in range(3):
        await asyncio.sleep(0)
    assert taken == ['next']
    assert len(errors) == 1
