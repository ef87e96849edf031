"""Command ``explain``."""

import pathlib
import re
import sys
from collections.abc import Iterator

from chivelead_cli._internal.context import ExitStatus, say

_STAMP = re.compile(r'\bstamp=(\d+)\.(\d+)')
_SEPARATORS = '.'


def explain(request_id: str, *files: pathlib.Path) -> None:
    """Print what the logs of all nodes say of one request, in causal order.

    Example: ``chivelead explain 51fa4e7baf6398a9 logs/*.log``

    Lines are ordered by the hybrid clock, which nodes carry to each other with
    every message.  Calls of targets are shown too where their ids begin with
    the id of the request and a dot.

    Args:
        request_id: Identity of the request, as its caller sent it.
        files: Logs of nodes.
    """
    found: list[tuple[tuple[int, int], str]] = []
    for path in files:
        try:
            found.extend(_matching(path, request_id))
        except OSError as error:
            say(f'read {path}: {error.strerror}')
            sys.exit(ExitStatus.not_valid)
    if not found:
        say(f'no line of {request_id} in {len(files)} files')
        sys.exit(ExitStatus.not_valid)
    for _, line in sorted(found):
        say(line)


def _matching(
    path: pathlib.Path,
    request_id: str,
) -> Iterator[tuple[tuple[int, int], str]]:
    wanted = f'request_id={request_id}'
    with path.open(encoding='utf-8', errors='replace') as lines:
        for line in lines:
            before, mark, rest = line.partition(wanted)
            stamp = _STAMP.search(before)
            if mark and stamp and rest[:1] in {'', '\n', ' ', _SEPARATORS}:
                order = (int(stamp.group(1)), int(stamp.group(2)))
                yield order, line[stamp.start() :].strip()
