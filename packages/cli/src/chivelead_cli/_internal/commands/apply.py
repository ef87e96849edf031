"""Command ``apply``."""

import asyncio
import getpass
import pathlib

from chivelead_coordination import Store
from chivelead_protocol import now_ms

from chivelead_cli._internal import context
from chivelead_cli._internal.operations.edits import AcceptedEdit, apply_edit
from chivelead_cli._internal.operations.files import read_files
from chivelead_cli._internal.operations.fleet_view import (
    read_relay_addresses,
    view_fleet,
)

_POLL_INTERVAL_S = 0.3
_MS_PER_S = 1000


def apply(
    *files: pathlib.Path,
    store: str = '',
    secret: str = '',
    note: str = '',
    wait_s: float = 9,
) -> None:
    """Validate documents together with those in force, and apply them.

    Prints the number of nodes in each failure domain that confirmed the edit.
    If not all nodes confirm it in time, the exit status is 5.

    Example: ``chivelead apply stock.ini --note 'more for mill-1'``

    Args:
        files: INI files with one document each.
        store: URL of the store; taken from CHIVELEAD_STORE if empty.
        secret: Secret of the fleet; taken from CHIVELEAD_SECRET if empty.
        note: Reason for the edit, kept in the history.
        wait_s: Maximum time to wait for confirmation by the nodes.
    """

    async def execute() -> context.ExitStatus:
        changes = read_files(files)
        async with context.open_store(store) as store_client:
            edit = await apply_edit(
                store_client, changes, getpass.getuser(), note
            )
            context.print_line(
                f'edit={edit.edit_id} version={edit.version} accepted'
            )
            return await await_confirmation(store_client, edit, secret, wait_s)

    context.run(execute)


async def await_confirmation(
    store: Store,
    edit: AcceptedEdit,
    secret: str,
    wait_s: float,
) -> context.ExitStatus:
    """Wait until all nodes apply the edit or time is up; print the result.

    The result is the number of nodes that confirmed it, by failure domain.
    """
    fleet_secret = context.fleet_secret(secret)
    addresses = await read_relay_addresses(store)
    deadline_ms = now_ms() + wait_s * _MS_PER_S
    while True:
        view = await view_fleet(addresses, fleet_secret)
        outdated_domains = [
            domain
            for domain, versions in view.versions().items()
            if min(versions) < edit.version
        ]
        is_confirmed = (
            bool(view.reports) and not outdated_domains and not view.unreachable
        )
        if is_confirmed or now_ms() > deadline_ms:
            break
        await asyncio.sleep(_POLL_INTERVAL_S)
    for domain, versions in sorted(view.versions().items()):
        confirmed = sum(version >= edit.version for version in versions)
        context.print_line(
            f'failure_domain={domain} confirmed={confirmed} '
            f'nodes={len(versions)}',
        )
    for vm in view.unreachable:
        context.print_line(f'vm={vm} not-reached')
    if is_confirmed:
        return context.ExitStatus.ok
    return context.ExitStatus.not_confirmed
