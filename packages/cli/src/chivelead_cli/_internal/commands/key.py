"""Commands ``key issue``, ``key withdraw`` and ``key list``."""

import getpass

from chivelead_protocol import ConfigurationError

from chivelead_cli._internal import context
from chivelead_cli._internal.commands.apply import await_confirmation
from chivelead_cli._internal.operations import keys
from chivelead_cli._internal.operations.edits import (
    Documents,
    apply_edit,
    read_documents,
)


def issue(organisation: str, name: str, *, store: str = '') -> None:
    """Issue an API key and print it; only its digest is stored.

    Args:
        organisation: Name of the organisation.
        name: Name of the new key, needed to withdraw it.
        store: URL of the store; taken from CHIVELEAD_STORE if empty.
    """

    async def execute() -> context.ExitStatus:
        async with context.open_store(store) as store_client:
            base = await read_documents(store_client)
            document = f'organisation/{organisation}'
            text, key = keys.add_key(_find_text(base, document), name)
            edit = await apply_edit(
                store_client,
                {document: text},
                getpass.getuser(),
                f'issue key {name}',
                base,
            )
        context.print_line(
            f'edit={edit.edit_id} version={edit.version} accepted'
        )
        context.print_line(f'key={key}')
        return context.ExitStatus.ok

    context.run(execute)


def withdraw(
    organisation: str,
    name: str,
    *,
    store: str = '',
    secret: str = '',
    wait_s: float = 9,
) -> None:
    """Withdraw an API key, and print how many nodes reject it already.

    Args:
        organisation: Name of the organisation.
        name: Name of the key.
        store: URL of the store; taken from CHIVELEAD_STORE if empty.
        secret: Secret of the fleet; taken from CHIVELEAD_SECRET if empty.
        wait_s: Maximum time to wait for confirmation by the nodes.
    """

    async def execute() -> context.ExitStatus:
        async with context.open_store(store) as store_client:
            base = await read_documents(store_client)
            document = f'organisation/{organisation}'
            text = keys.withdraw_key(_find_text(base, document), name)
            edit = await apply_edit(
                store_client,
                {document: text},
                getpass.getuser(),
                f'withdraw key {name}',
                base,
            )
            context.print_line(
                f'edit={edit.edit_id} version={edit.version} accepted'
            )
            return await await_confirmation(store_client, edit, secret, wait_s)

    context.run(execute)


def list_names(organisation: str, *, store: str = '') -> None:
    """List the names and states of an organisation's API keys.

    Args:
        organisation: Name of the organisation.
        store: URL of the store; taken from CHIVELEAD_STORE if empty.
    """

    async def execute() -> context.ExitStatus:
        async with context.open_store(store) as store_client:
            base = await read_documents(store_client)
        key_states = keys.list_keys(
            _find_text(base, f'organisation/{organisation}')
        )
        for name, is_withdrawn in key_states.items():
            state = 'withdrawn' if is_withdrawn else 'valid'
            context.print_line(f'key={name} state={state}')
        return context.ExitStatus.ok

    context.run(execute)


def _find_text(documents: Documents, name: str) -> str:
    text = documents.texts.get(name)
    if text is None:
        raise ConfigurationError(
            f'find {name}',
            'the document does not exist',
            'see `chivelead show`',
        )
    return text
