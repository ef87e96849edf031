"""Run the node as ``python -m chivelead_node._internal.proxy``."""

from chivelead_node._internal.proxy.main import main

main()
