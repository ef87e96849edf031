"""Run the node as ``python -m chivelead_node``."""

import signal

# By default, it ends the process; the node handles it once it has loaded.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from chivelead_node._internal.main import main  # noqa: E402

main()
