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

from chivelead_cli._internal.operations.edits import EditConflictError
from chivelead_cli._internal.operations.fleet_view import (
    parse_addresses,
    read_relay_addresses,
)

_TIMEOUT_MS = 2000


class ExitStatus(enum.IntEnum):
    """Exit statuses of the command."""

    ok = 0
    invalid = 1
    usage = 2
    store_unavailable = 3
    edit_conflict = 4
    not_confirmed = 5


@contextlib.asynccontextmanager
async def open_store(url: str) -> AsyncIterator[Store]:
    """Open the store at ``url`` or in CHIVELEAD_STORE.

    Raises:
        ConfigurationError: Neither is given.
    """
    store_url = url or os.environ.get('CHIVELEAD_STORE', '')
    if not store_url:
        raise ConfigurationError(
            'find the store',
            'no URL is given',
            'use --store or set CHIVELEAD_STORE',
        )
    store = HttpStore(store_url, _TIMEOUT_MS)
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
    async with open_store(store) as store_client:
        return await read_relay_addresses(store_client)


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


def run(command: Callable[[], Coroutine[Any, Any, ExitStatus | None]]) -> None:
    """Run a command and leave with its exit status."""
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
    """Print one line."""
    sys.stdout.write(f'{line}\n')


def print_json(document: Any) -> None:
    """Print a document for scripts."""
    print_line(json.dumps(document, sort_keys=True, default=str))


def _report_error(error: Exception, status: ExitStatus) -> ExitStatus:
    sys.stderr.write(f'chivelead: {error}\n')
    return status
