"""Run the node as ``python -m chivelead_node``."""

from chivelead_node._internal.main import main

main()
