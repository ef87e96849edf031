#!/bin/sh
# Builds the stand-ins that the scripts 6 to 10 of this review start, after the
# build of the deploy file: they are Python, so this checks that each one can be
# loaded with the libraries in target/deps, the project's own (tests/lib) too.
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root" || exit 2
PYTHONPATH="$root/target/deps:$root/tests:$root/review/lib2" \
    PYTHONDONTWRITEBYTECODE=1 python3 -c '
import fleet
import lib.fake_platform
import lib.node_process
import chivelead_node._internal.proxy
'
