#!/bin/sh
# Exits with 1 if DRAIN was broken, 0 if it held, 2 if the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
cd "$root" || exit 2
PYTHONPATH="$root/target/deps:$root/tests:$root/review/lib2" \
    PYTHONDONTWRITEBYTECODE=1 exec python3 "$folder/case.py"
