"""Entry point of ``python -m chivelead_standins``."""

from chivelead_standins._internal.main import main

main()
