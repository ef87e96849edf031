"""Run the node as ``python -m chivelead_node._internal.proxy``."""

import os

# No link or call here uses TLS, and the HTTP library reads all certificates of
# the system when it is imported, which takes a tenth of a second.
os.environ['SSL_CERT_FILE'] = os.devnull
os.environ['SSL_CERT_DIR'] = os.devnull

from chivelead_node._internal.proxy.main import main  # noqa: E402

main()
