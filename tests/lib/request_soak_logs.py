"""What nodes of a soak say of themselves: their counts and logs."""

import contextlib
import os
import pathlib
import shutil

import aiohttp

from lib.node_process import METRICS_PORT

# Keeps the logs of the nodes and the history of each seed.
_LOG_FOLDER = 'CHIVELEAD_SOAK_LOGS'
_UNLISTED_COUNT = 'chivelead_unanswered_total{cause="unlisted"} '
_UNLISTED_LINE = 'why=unlisted'


async def read_unlisted_ends(fleet):
    """Return counts and log lines of ends for which nodes know no cause."""
    ends = []
    for node in fleet.nodes:
        # Of processes that have ended, too.
        ends.extend(node.log_lines(_UNLISTED_LINE))
        with contextlib.suppress(aiohttp.ClientError):
            text = await fleet.get_text(node, METRICS_PORT, '/metrics')
            ends.extend(
                f'{node.vm}: {line}'
                for line in text.splitlines()
                if line.startswith(_UNLISTED_COUNT)
                and float(line.removeprefix(_UNLISTED_COUNT))
            )
    return ends


def keep_logs(nodes, history, seed):
    """Copy the logs and the history if a folder for them is named."""
    if not os.environ.get(_LOG_FOLDER):
        return
    folder = pathlib.Path(os.environ[_LOG_FOLDER]) / f'seed-{seed}'
    folder.mkdir(parents=True, exist_ok=True)
    for node in nodes:
        shutil.copy(node.log_path, folder)
    lines = [
        repr(record)
        for records in (
            history.disturbances,
            history.keys.items(),
            history.calls.values(),
            history.runs,
        )
        for record in records
    ]
    (folder / 'history.txt').write_text('\n'.join(lines))
