"""Store access, console output and exit statuses of all commands."""

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

from chivelead_cli._internal.operations.edits import EditConflictError
from chivelead_cli._internal.operations.fleet_view import (
    parse_addresses,
    read_relay_addresses,
)

_STORE_TIMEOUT_MS = 2000


class ExitStatus(enum.IntEnum):
    """Exit statuses of ``chivelead``; the argument parser uses ``usage``."""

    ok = 0
    invalid = 1
    usage = 2
    store_unavailable = 3
    edit_conflict = 4
    not_confirmed = 5


@contextlib.asynccontextmanager
async def open_store(url: str) -> AsyncIterator[Store]:
    """Open the store at ``url``, or at the URL in CHIVELEAD_STORE.

    Raises:
        ConfigurationError: Neither is set.
    """
    store_url = url or os.environ.get('CHIVELEAD_STORE', '')
    if not store_url:
        raise ConfigurationError(
            'open the store',
            'no URL is set',
            'use --store or set CHIVELEAD_STORE',
        )
    store = HttpStore(store_url, _STORE_TIMEOUT_MS)
    await store.start()
    try:
        yield store
    finally:
        await store.close()


async def node_addresses(
    store: str,
    peers: tuple[str, ...],
) -> list[tuple[str, int]]:
    """Return the addresses in ``peers``; if empty, those of the relays.

    Relays are the nodes that watch the store; it lists their addresses.

    Raises:
        ConfigurationError: An address is not valid, or neither peers nor a
            store is set.
        StoreUnavailableError: The store did not answer.
    """
    if peers:
        return parse_addresses(peers)
    async with open_store(store) as store_client:
        return await read_relay_addresses(store_client)


def fleet_secret(given: str) -> str:
    """Return the given secret of the fleet, or the one in CHIVELEAD_SECRET.

    Raises:
        ConfigurationError: Neither is set.
    """
    secret = given or os.environ.get('CHIVELEAD_SECRET', '')
    if not secret:
        raise ConfigurationError(
            'connect to the nodes',
            'no secret is set',
            'use --secret or set CHIVELEAD_SECRET',
        )
    return secret


def run(command: Callable[[], Coroutine[Any, Any, ExitStatus | None]]) -> None:
    """Run a command and exit with its status."""
    status: ExitStatus | None = None
    try:
        status = uvloop.run(command())
    except EditConflictError as error:
        status = _report_error(error, ExitStatus.edit_conflict)
    except StoreUnavailableError as error:
        status = _report_error(error, ExitStatus.store_unavailable)
    except (ChiveleadError, asyncio.TimeoutError) as error:
        status = _report_error(error, ExitStatus.invalid)
    sys.exit(status or ExitStatus.ok)


def print_line(line: str) -> None:
    """Print a line to the standard output."""
    sys.stdout.write(f'{line}\n')


def print_json(document: Any) -> None:
    """Print a value as one line of JSON."""
    print_line(json.dumps(document, sort_keys=True, default=str))


def _report_error(error: Exception, status: ExitStatus) -> ExitStatus:
    sys.stderr.write(f'chivelead: {error}\n')
    return status
