"""Run a node with the settings provided by the platform.

This entry point skips the command-line parser and its imports to save memory
on each node: the platform configures everything in its settings file.
"""

import asyncio
import gc
import logging
import os
import signal
import sys

import uvloop
from chivelead_platform import ProcessSettings, load_process_settings
from chivelead_protocol import ConfigurationError

from chivelead_node._internal.nonblocking_output import NonBlockingHandler
from chivelead_node._internal.proxy.allocator import return_freed_memory
from chivelead_node._internal.proxy.daemon import ProxyDaemon

_EXIT_CONFIGURATION_ERROR = 2
_GC_THRESHOLD = 50_000


async def serve(settings: ProcessSettings) -> None:
    """Run a node until SIGTERM or SIGINT.

    Raises:
        ConfigurationError: A port is in use.
    """
    logging.getLogger().addHandler(NonBlockingHandler(sys.stderr.fileno()))
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    daemon = ProxyDaemon(settings)
    loop.add_signal_handler(signal.SIGHUP, daemon.reload)
    await daemon.start()
    # Exclude long-lived objects from garbage collection to keep pauses short.
    gc.freeze()
    gc.set_threshold(_GC_THRESHOLD)
    await stop_requested.wait()
    await daemon.close()
    # By now the log is flushed and the peers are notified. A normal exit would
    # wait for the remaining tasks, which may still wait for unreachable peers
    # and targets when the platform sends SIGKILL.
    os._exit(0)  # noqa: SLF001, WPS437


def main() -> None:
    """Load the settings and run the node."""
    return_freed_memory()
    try:
        uvloop.run(serve(load_process_settings()))
    except ConfigurationError as error:
        sys.stderr.write(f'chivelead-node: {error}\n')
        sys.exit(_EXIT_CONFIGURATION_ERROR)
