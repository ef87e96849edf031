"""Command line of the node daemon."""

import asyncio
import contextlib
import gc
import pathlib
import signal
import sys

import defopt
import uvloop
from chivelead_config import Settings, load_settings
from chivelead_platform import load_process_settings
from chivelead_protocol import ConfigurationError

from chivelead_node._internal.daemon import NodeDaemon
from chivelead_node._internal.events import write_events_to_stderr
from chivelead_node._internal.proxy.main import serve as serve_platform

_EXIT_BAD_SETTINGS = 2
_GC_THRESHOLD = 50_000


def run(*, settings: pathlib.Path | None = None) -> None:
    """Run a node until SIGTERM or SIGINT.

    Args:
        settings: INI file with the settings of the node. Without it, the
            node takes its settings from the platform that started it.
    """
    try:
        if settings is None:
            uvloop.run(serve_platform(load_process_settings()))
        else:
            loaded = load_settings(settings)
            write_events_to_stderr()
            uvloop.run(serve(loaded))
    except ConfigurationError as error:
        sys.stderr.write(f'chivelead-node: {error}\n')
        sys.exit(_EXIT_BAD_SETTINGS)


async def serve(settings: Settings) -> None:
    """Run a node until SIGTERM or SIGINT.

    Raises:
        ConfigurationError: A port is in use.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    daemon = NodeDaemon(settings)
    loop.add_signal_handler(signal.SIGHUP, daemon.reload)
    with contextlib.suppress(asyncio.CancelledError):
        await daemon.start()
        # Startup objects live as long as the process; excluding them from
        # garbage collection keeps its pauses short.
        gc.freeze()
        gc.set_threshold(_GC_THRESHOLD)
        await stop.wait()
        await daemon.close()


def main() -> None:
    """Entry point of ``chivelead-node``."""
    defopt.run(run)
