"""Run the stand-ins as ``python -m chivelead_standins``."""

from chivelead_standins._internal.main import main

main()
