"""What every command shares: the store, output and exit statuses."""

import asyncio
import contextlib
import enum
import json
import os
import sys
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

import uvloop
from chivelead_coordination import HttpStore, Store
from chivelead_protocol import (
    ChiveleadError,
    ConfigurationError,
    StoreUnavailableError,
)

from chivelead_cli._internal.operations.edits import EditRaceError
from chivelead_cli._internal.operations.fleet_view import (
    parse_addresses,
    relay_addresses,
)

_TIMEOUT_MS = 2000


class ExitStatus(enum.IntEnum):
    """Exit statuses of the command."""

    done = 0
    not_valid = 1
    usage = 2
    store_away = 3
    lost_race = 4
    not_confirmed = 5


@contextlib.asynccontextmanager
async def open_store(url: str) -> AsyncIterator[Store]:
    """Open the store at ``url`` or in CHIVELEAD_STORE.

    Raises:
        ConfigurationError: Neither is given.
    """
    place = url or os.environ.get('CHIVELEAD_STORE', '')
    if not place:
        raise ConfigurationError(
            'find the store',
            'no URL is given',
            'use --store or set CHIVELEAD_STORE',
        )
    store = HttpStore(place, _TIMEOUT_MS)
    await store.start()
    try:
        yield store
    finally:
        await store.close()


async def node_addresses(
    store: str,
    peers: tuple[str, ...],
) -> list[tuple[str, int]]:
    """Return addresses of nodes: the given ones, else those in the store.

    Raises:
        ConfigurationError: No peers and no store are given.
        StoreUnavailableError: The store did not answer.
    """
    if peers:
        return parse_addresses(peers)
    async with open_store(store) as opened:
        return await relay_addresses(opened)


def fleet_secret(given: str) -> str:
    """Return the secret of the fleet, given or in CHIVELEAD_SECRET.

    Raises:
        ConfigurationError: Neither is given.
    """
    secret = given or os.environ.get('CHIVELEAD_SECRET', '')
    if not secret:
        raise ConfigurationError(
            'reach the nodes',
            'no secret is given',
            'use --secret or set CHIVELEAD_SECRET',
        )
    return secret


def run(work: Callable[[], Coroutine[Any, Any, ExitStatus | None]]) -> None:
    """Run a command and leave with its exit status."""
    status: ExitStatus | None = None
    try:
        status = uvloop.run(work())
    except EditRaceError as error:
        status = _fail(error, ExitStatus.lost_race)
    except StoreUnavailableError as error:
        status = _fail(error, ExitStatus.store_away)
    except (ChiveleadError, asyncio.TimeoutError) as error:
        status = _fail(error, ExitStatus.not_valid)
    sys.exit(status or ExitStatus.done)


def say(line: str) -> None:
    """Print one line."""
    sys.stdout.write(f'{line}\n')


def say_json(document: Any) -> None:
    """Print a document for scripts."""
    say(json.dumps(document, sort_keys=True, default=str))


def _fail(error: Exception, status: ExitStatus) -> ExitStatus:
    sys.stderr.write(f'chivelead: {error}\n')
    return status
