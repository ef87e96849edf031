"""Command ``explain``."""

import pathlib
import re
import sys
from collections.abc import Iterator

from chivelead_cli._internal.context import ExitStatus, print_line

_STAMP = re.compile(r'\bstamp=(\d+)\.(\d+)')
_ID_SEPARATOR = '.'


def explain(request_id: str, *files: pathlib.Path) -> None:
    """Print the log lines of all nodes for one request, in causal order.

    Example: ``chivelead explain 51fa4e7baf6398a9 logs/*.log``

    Lines are sorted by the timestamps of the nodes' hybrid logical clocks,
    which are synchronised with every message between nodes.  Downstream calls
    by targets are included if their request IDs start with this request ID and
    a dot.

    Args:
        request_id: Request ID, as sent by the caller.
        files: Log files of nodes.
    """
    matches: list[tuple[tuple[int, int], str]] = []
    for path in files:
        try:
            matches.extend(_matching_lines(path, request_id))
        except OSError as error:
            print_line(f'read {path}: {error.strerror}')
            sys.exit(ExitStatus.invalid)
    if not matches:
        print_line(f'no line of {request_id} in {len(files)} files')
        sys.exit(ExitStatus.invalid)
    for _, line in sorted(matches):
        print_line(line)


def _matching_lines(
    path: pathlib.Path,
    request_id: str,
) -> Iterator[tuple[tuple[int, int], str]]:
    id_field = f'request_id={request_id}'
    with path.open(encoding='utf-8', errors='replace') as lines:
        for line in lines:
            before, match, rest = line.partition(id_field)
            stamp = _STAMP.search(before)
            if match and stamp and rest[:1] in {'', '\n', ' ', _ID_SEPARATOR}:
                order = (int(stamp.group(1)), int(stamp.group(2)))
                yield order, line[stamp.start() :].strip()
