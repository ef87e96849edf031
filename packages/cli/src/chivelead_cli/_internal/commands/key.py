"""Commands ``key issue``, ``key withdraw`` and ``key list``."""

import getpass

from chivelead_protocol import ConfigurationError

from chivelead_cli._internal import context
from chivelead_cli._internal.commands.apply import confirm
from chivelead_cli._internal.operations import keys
from chivelead_cli._internal.operations.edits import (
    Documents,
    apply_edit,
    read_documents,
)


def issue(organisation: str, name: str, *, store: str = '') -> None:
    """Issue a key; it is printed once and only its digest is kept.

    Args:
        organisation: Whose key.
        name: Name of the key, to withdraw it by.
        store: URL of the store; else CHIVELEAD_STORE.
    """

    async def work() -> context.ExitStatus:
        async with context.open_store(store) as opened:
            base = await read_documents(opened)
            document = f'organisation/{organisation}'
            text, key = keys.add_key(_text(base, document), name)
            edit = await apply_edit(
                opened,
                {document: text},
                getpass.getuser(),
                f'issue key {name}',
                base,
            )
        context.say(f'edit={edit.edit_id} version={edit.version} accepted')
        context.say(f'key={key}')
        return context.ExitStatus.done

    context.run(work)


def withdraw(
    organisation: str,
    name: str,
    *,
    store: str = '',
    secret: str = '',
    wait_s: float = 9,
) -> None:
    """Withdraw a key and report where it has stopped working.

    Args:
        organisation: Whose key.
        name: Name of the key.
        store: URL of the store; else CHIVELEAD_STORE.
        secret: Secret of the fleet; else CHIVELEAD_SECRET.
        wait_s: How long to wait for the nodes to confirm.
    """

    async def work() -> context.ExitStatus:
        async with context.open_store(store) as opened:
            base = await read_documents(opened)
            document = f'organisation/{organisation}'
            text = keys.withdraw_key(_text(base, document), name)
            edit = await apply_edit(
                opened,
                {document: text},
                getpass.getuser(),
                f'withdraw key {name}',
                base,
            )
            context.say(f'edit={edit.edit_id} version={edit.version} accepted')
            return await confirm(opened, edit, secret, wait_s)

    context.run(work)


def list_names(organisation: str, *, store: str = '') -> None:
    """List the keys of an organisation by name.

    Args:
        organisation: Whose keys.
        store: URL of the store; else CHIVELEAD_STORE.
    """

    async def work() -> context.ExitStatus:
        async with context.open_store(store) as opened:
            base = await read_documents(opened)
        found = keys.list_keys(_text(base, f'organisation/{organisation}'))
        for name, is_withdrawn in found.items():
            state = 'withdrawn' if is_withdrawn else 'valid'
            context.say(f'key={name} state={state}')
        return context.ExitStatus.done

    context.run(work)


def _text(documents: Documents, name: str) -> str:
    text = documents.texts.get(name)
    if text is None:
        raise ConfigurationError(
            f'find {name}',
            'there is no such document',
            'see `chivelead show`',
        )
    return text
