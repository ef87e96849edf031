#!/bin/sh
# Check that the stand-ins of the scripts compile.  They use the standard
# library only; the nodes come from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
for source in lib/*.py [1-5]/*.py; do
  if [ -e "$source" ]; then
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$source"
  fi
done
