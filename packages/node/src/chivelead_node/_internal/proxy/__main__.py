"""Run the node as ``python -m chivelead_node._internal.proxy``."""

import os

# The node uses no TLS, but importing aiohttp loads all system certificates,
# which takes 0.1 s.
os.environ['SSL_CERT_FILE'] = os.devnull
os.environ['SSL_CERT_DIR'] = os.devnull

from chivelead_node._internal.proxy.main import main  # noqa: E402

main()
