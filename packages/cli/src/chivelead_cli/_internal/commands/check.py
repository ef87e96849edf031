"""Command ``check``."""

import pathlib
import sys

from chivelead_config import check_documents
from chivelead_protocol import ConfigurationError

from chivelead_cli._internal.context import ExitStatus, print_line
from chivelead_cli._internal.operations.files import read_files


def check(*files: pathlib.Path) -> None:
    """Validate a complete set of documents and print all problems.

    Example: ``chivelead check examples/association/*.ini``

    Args:
        files: INI files with one document each.
    """
    try:
        problems = check_documents(read_files(files))
    except ConfigurationError as error:
        print_line(str(error))
        sys.exit(ExitStatus.invalid)
    for problem in problems:
        print_line(str(problem))
    if problems:
        sys.exit(ExitStatus.invalid)
    print_line(f'{len(files)} documents are valid')
