#!/bin/sh
# Install the dependencies and copy the packages of this checkout into
# target/deps.
set -eu
deps=target/deps
if [ ! -e "$deps/.libraries" ] || [ deploy/requirements.txt -nt "$deps/.libraries" ]; then
  python3 -m pip install -q -U --target "$deps" -r deploy/requirements.txt
  touch "$deps/.libraries"
fi
rm -rf "$deps"/chivelead_*
for package in protocol config policy coordination platform node; do
  cp -R "packages/$package/src/chivelead_$package" "$deps/"
done
python3 -m compileall -q "$deps" || true
