"""Commands ``show``, ``diff`` and ``history``."""

import difflib
import pathlib

from chivelead_cli._internal import context
from chivelead_cli._internal.operations.edits import read_documents
from chivelead_cli._internal.operations.files import read_files


def show(*names: str, store: str = '') -> None:
    """Print the named documents in force, or the names of all documents.

    Args:
        names: Document names such as service/stock, organisation/mill-1 or
            fleet; if none is given, the names of all are printed.
        store: URL of the store; taken from CHIVELEAD_STORE if empty.
    """

    async def execute() -> context.ExitStatus:
        async with context.open_store(store) as store_client:
            documents = await read_documents(store_client)
        context.print_line(f'# version {documents.manifest.version}')
        for name in names or sorted(documents.texts):
            if name not in documents.texts:
                context.print_line(f'# no document {name}')
                return context.ExitStatus.invalid
            context.print_line(documents.texts[name] if names else name)
        return context.ExitStatus.ok

    context.run(execute)


def diff(*files: pathlib.Path, store: str = '') -> None:
    """Print how files differ from the documents in force.

    Args:
        files: INI files with one document each.
        store: URL of the store; taken from CHIVELEAD_STORE if empty.
    """

    async def execute() -> context.ExitStatus:
        texts = read_files(files)
        async with context.open_store(store) as store_client:
            documents = await read_documents(store_client)
        for name, text in texts.items():
            lines = difflib.unified_diff(
                documents.texts.get(name, '').splitlines(),
                text.splitlines(),
                f'{name} in force',
                f'{name} in file',
                lineterm='',
            )
            for line in lines:
                context.print_line(line)
        return context.ExitStatus.ok

    context.run(execute)


def history(*, store: str = '', as_json: bool = False) -> None:
    """Print the accepted edits, oldest first.

    Args:
        store: URL of the store; taken from CHIVELEAD_STORE if empty.
        as_json: Print one JSON object per line.
    """

    async def execute() -> context.ExitStatus:
        async with context.open_store(store) as store_client:
            documents = await read_documents(store_client)
        for edit in documents.manifest.history:
            names = ','.join(name for name, _ in edit.replaced)
            fields = {
                'version': edit.version,
                'edit': edit.edit_id,
                'author': edit.author,
                'documents': names,
                'note': edit.note,
            }
            if as_json:
                context.print_json(fields)
            else:
                pairs = (f'{key}={text}' for key, text in fields.items())
                context.print_line(' '.join(pairs))
        return context.ExitStatus.ok

    context.run(execute)
