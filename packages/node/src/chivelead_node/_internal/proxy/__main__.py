"""Run the node as ``python -m chivelead_node._internal.proxy``."""

import os
import signal

# By default, it ends the process; the node handles it once it has loaded.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
# The node uses no TLS, but importing aiohttp loads all system certificates,
# which takes 0.1 s.
os.environ['SSL_CERT_FILE'] = os.devnull
os.environ['SSL_CERT_DIR'] = os.devnull

from chivelead_node._internal.proxy.main import main  # noqa: E402

main()
